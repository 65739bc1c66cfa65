#include "front/hangups.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>

#include "net/local_error.hpp"

namespace calicograde::front {

namespace {
constexpr std::uint64_t stop_number = 0;  // watches count from 1
constexpr Span after_failed_wait = Span::millis(10);
}  // namespace

Hangups::Hangups(std::function<void(int)> wait_failed, std::function<void()> before_telling)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      wait_failed_(std::move(wait_failed)),
      before_telling_(std::move(before_telling)) {
  epoll_event e{};
  e.events = EPOLLIN, e.data.u64 = stop_number;
  if (!epoll_ || !stop_.ok() || ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, stop_.fd(), &e) != 0)
    throw net::LocalError("cannot watch clients: no descriptor is left");
  thread_ = std::thread([this] { run(); });
}

Hangups::~Hangups() {
  stop_.raise();
  thread_.join();
}

void Hangups::run() {
  for (;;) {
    epoll_event come[16];
    const int n = ::epoll_wait(epoll_.get(), come, 16, -1);
    if (n < 0 && errno != EINTR) {
      if (wait_failed_) wait_failed_(errno);
      ::usleep(static_cast<useconds_t>(after_failed_wait.as_micros()));
    }
    for (int k = 0; k < n; ++k) {
      if (come[k].data.u64 == stop_number) return;
      if (before_telling_) before_telling_();
      std::shared_ptr<Ticket> ticket;
      {
        const std::lock_guard lock(mutex_);
        if (const auto it = watched_.find(come[k].data.u64); it != watched_.end()) ticket = it->second;
      }
      if (ticket) ticket->peer_left();
    }
  }
}

Hangups::Watch::Watch(Hangups& hangups, int client_fd, std::shared_ptr<Ticket> ticket)
    : hangups_(hangups), fd_(client_fd) {
  if (fd_ < 0) return;
  {
    const std::lock_guard lock(hangups_.mutex_);
    number_ = ++hangups_.numbers_;
    hangups_.watched_[number_] = std::move(ticket);
  }
  epoll_event e{};
  e.events = EPOLLRDHUP | EPOLLONESHOT, e.data.u64 = number_;
  // Where it can't be watched, Ticket::wait() looks now and then.
  static_cast<void>(::epoll_ctl(hangups_.epoll_.get(), EPOLL_CTL_ADD, fd_, &e));
}

Hangups::Watch::~Watch() {
  if (fd_ < 0) return;
  epoll_event none{};
  ::epoll_ctl(hangups_.epoll_.get(), EPOLL_CTL_DEL, fd_, &none);
  const std::lock_guard lock(hangups_.mutex_);
  hangups_.watched_.erase(number_);
}

}  // namespace calicograde::front
