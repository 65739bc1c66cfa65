#include "front/abandoned_calls.hpp"

#include <sys/socket.h>

#include <system_error>
#include <utility>
#include <vector>

#include "net/clock.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

constexpr Span kept_at_most = Span::millis(30000);
constexpr Span look_every = Span::millis(1000);

// Whether the other side has written anything.
bool has_bytes(int descriptor) {
  char byte = 0;
  return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

AbandonedCalls::~AbandonedCalls() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.raise();
  if (thread_.joinable()) thread_.join();
}

void AbandonedCalls::keep(http::ClientConnection connection, std::function<void(bool answered)> over) {
  connection.stream().watch(-1);
  connection.stream().end_sending();
  const std::lock_guard lock(mutex_);
  if (most_ == 0 || !changed_.ok()) return;
  calls_.push_back({std::move(connection), std::move(over), clock_now()});
  if (calls_.size() > most_ || !has_thread()) calls_.pop_front();
  changed_.raise();
}

// Starts it with the first call. Where this machine has no thread left for now, nobody could look after a
// call.
bool AbandonedCalls::has_thread() {
  if (thread_.joinable()) return true;
  try {
    thread_ = std::thread([this] { run(); });
    return true;
  } catch (const std::system_error&) {
    return false;
  }
}

std::size_t AbandonedCalls::count() const {
  const std::lock_guard lock(mutex_);
  return calls_.size();
}

void AbandonedCalls::run() {
  for (;;) {
    std::vector<pollfd> waits{{changed_.fd(), POLLIN, 0}};
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      for (Call& call : calls_) waits.push_back({call.connection.stream().fd(), POLLIN, 0});
    }
    if (net::wait_ready(waits.data(), waits.size(), clock_now() + look_every) > 0) changed_.clear();
    // Looked at by the connections themselves: the list may have changed since.
    for (Call& call : take_those_over()) call.over(has_bytes(call.connection.stream().fd()));
  }
}

std::list<AbandonedCalls::Call> AbandonedCalls::take_those_over() {
  const std::lock_guard lock(mutex_);
  close_old(clock_now());
  std::list<Call> over;
  for (auto it = calls_.begin(); it != calls_.end();) {
    const auto here = it++;
    pollfd look{here->connection.stream().fd(), POLLIN, 0};
    if (::poll(&look, 1, 0) > 0) over.splice(over.end(), calls_, here);
  }
  return over;
}

void AbandonedCalls::close_old(Instant now) {
  while (!calls_.empty() && now - calls_.front().since > kept_at_most) calls_.pop_front();
}

}  // namespace calicograde::front
