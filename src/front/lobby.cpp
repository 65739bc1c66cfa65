#include "front/lobby.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <vector>

#include "net/clock.hpp"
#include "net/local_error.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

// A connection this young may have its request on the way.
constexpr Span settling = Span::millis(100);
constexpr Span leave_within = Span::millis(1000);
constexpr std::uint64_t wake_number = 0;  // seats count from 1

constexpr int most_tries = 3;  // to watch one, where memory is short
constexpr Span after_failed_wait = Span::millis(10);

bool watch(const net::Fd& epoll, int fd, std::uint64_t number) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLRDHUP, e.data.u64 = number;
  for (int k = 0; k < most_tries; ++k) {
    if (::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, fd, &e) == 0) return true;
    if (errno != ENOMEM && errno != ENOSPC) return false;
  }
  return false;
}

}  // namespace

Lobby::Lobby(std::function<void(Shared)> comes, std::size_t most_leaving,
             std::function<void(int)> wait_failed)
    : comes_(std::move(comes)),
      wait_failed_(std::move(wait_failed)),
      most_leaving_(most_leaving),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_ || !wake_.ok() || !watch(epoll_, wake_.fd(), wake_number))
    throw net::LocalError("cannot watch connections: no descriptor is left");
  thread_ = std::thread([this] { run(); });
}

Lobby::~Lobby() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wake_.raise();
  thread_.join();
}

void Lobby::wait(Shared guest) { add(std::move(guest), false); }
void Lobby::leave(Shared guest) { add(std::move(guest), true); }

void Lobby::add(Shared guest, bool leaving) {
  std::vector<Shared> gone;  // ends after the lock does
  {
    const std::lock_guard lock(mutex_);
    seat(std::move(guest), leaving, gone);
  }
  hand_on_unwatched();
}

// Memory may be short for a moment, and the next request be on its way: a thread waits for that one alone.
void Lobby::hand_on_unwatched() {
  std::vector<Shared> unwatched;
  {
    const std::lock_guard lock(mutex_);
    unwatched.swap(unwatched_);
  }
  for (auto& guest : unwatched) comes_(std::move(guest));
}

void Lobby::seat(Shared guest, bool leaving, std::vector<Shared>& gone) {
  leaving |= closed_;
  const Instant now = clock_now();
  const Instant until = leaving ? now + leave_within : guest->connection.idle_until();
  if (leaving) guest->connection.end_answers(), guest->place.reset();
  const std::uint64_t number = ++numbers_;
  if (!watch(epoll_, guest->connection.stream().fd(), number)) {
    if (leaving) guest->connection.drop_some();  // at least what is here already
    return (leaving ? gone : unwatched_).push_back(std::move(guest));
  }
  seats_.emplace(number, Seat{std::move(guest), leaving, now, until});
  if (leaving) leaving_.insert(number);
  const auto end = ends_.emplace(until, number).first;
  if (end == ends_.begin()) wake_.raise();
  while (leaving_.size() > most_leaving_) {
    Shared longest = take(seats_.find(*leaving_.begin()));
    longest->connection.drop_some();  // at least what is here already
    gone.push_back(std::move(longest));
  }
}

Lobby::Shared Lobby::take(Seats::iterator at) {
  epoll_event none{};
  Shared guest = std::move(at->second.guest);
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, guest->connection.stream().fd(), &none);
  ends_.erase({at->second.until, at->first});
  leaving_.erase(at->first);
  seats_.erase(at);
  if (leaving_.empty()) emptied_.notify_all();
  return guest;
}

bool Lobby::make_room() {
  std::vector<Shared> gone;
  const std::lock_guard lock(mutex_);
  const Instant now = clock_now();
  const auto first = [&](const auto& which) {
    const auto at =
        std::find_if(seats_.begin(), seats_.end(), [&](const auto& s) { return which(s.second); });
    if (at == seats_.end()) return false;
    seat(take(at), true, gone);
    return true;
  };
  // What has begun to come is no idle connection any more.
  const auto idle = [](const Seat& s) { return !s.leaving && !s.guest->connection.stream().stale(); };
  return first([&](const Seat& s) { return s.guest->fresh && now - s.since >= settling && idle(s); }) ||
         first([&](const Seat& s) { return !s.guest->fresh && idle(s); });
}

void Lobby::close() {
  std::vector<Shared> gone;
  const std::lock_guard lock(mutex_);
  closed_ = true;
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, seat] : seats_)
    if (!seat.leaving) waiting.push_back(number);
  for (const std::uint64_t number : waiting) seat(take(seats_.find(number)), true, gone);
}

bool Lobby::wait_empty(Instant deadline) {
  std::unique_lock lock(mutex_);
  const Span left = std::max(Span{}, deadline - clock_now());
  return emptied_.wait_for(lock, std::chrono::microseconds(left.as_micros()),
                           [&] { return leaving_.empty(); });
}

void Lobby::end_overdue(std::vector<Shared>& gone) {
  const Instant now = clock_now();
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto at = seats_.find(ends_.begin()->second);
    const bool leaving = at->second.leaving;
    // One that was idle for too long is ended as any other: a request may be on its way at this moment.
    if (leaving) gone.push_back(take(at));
    else seat(take(at), true, gone);
  }
}

void Lobby::run() {
  for (int wait_millis = -1;;) {
    epoll_event come[64];
    const int n = ::epoll_wait(epoll_.get(), come, 64, wait_millis);
    if (n < 0 && errno != EINTR) {
      if (wait_failed_) wait_failed_(errno);
      ::usleep(static_cast<useconds_t>(after_failed_wait.as_micros()));
    }
    std::vector<Shared> begun, gone;
    {
      const std::lock_guard lock(mutex_);
      if (ending_) return;
      for (int k = 0; k < n; ++k) {
        if (come[k].data.u64 == wake_number) wake_.clear();
        const auto at = seats_.find(come[k].data.u64);
        if (at == seats_.end()) continue;
        auto& connection = at->second.guest->connection;
        if (!at->second.leaving) (connection.stream().ended() ? gone : begun).push_back(take(at));
        else if (!connection.drop_some()) gone.push_back(take(at));
      }
      end_overdue(gone);
      const Span left = ends_.empty() ? Span::millis(60000) : ends_.begin()->first - clock_now();
      wait_millis = static_cast<int>(std::clamp(left.as_millis(), 0.0, 60000.0)) + 1;
    }
    for (auto& guest : begun) comes_(std::move(guest));
    hand_on_unwatched();
  }
}

}  // namespace calicograde::front
