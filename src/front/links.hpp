#pragma once

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "http/http.hpp"
#include "net/clock.hpp"

namespace calicograde::front {

// Connections to engines that are open and idle, by address. Thread-safe.
class Links {
 public:
  // Newest first, `most_each` an address and `most` in all. `rest`: so long after its last answer a
  // connection is not used; a second answer that follows behind that would be taken for the next request's.
  Links(Span idle, std::size_t most_each, std::size_t most = 65536, Span rest = {})
      : idle_(idle), most_each_(most_each), most_(most), rest_(rest) {}

  // The one used last of those that have rested, if it still is as it was left; those that are too old or
  // closed by the engine go.
  std::optional<http::ClientConnection> take(const net::Address& to) {
    const std::lock_guard lock(mutex_);
    const auto it = kept_.find(to);
    if (it == kept_.end()) return std::nullopt;
    auto& kept = it->second;
    const Instant now = net::clock_now();
    auto resting = kept.end();
    while (resting != kept.begin() && now - std::prev(resting)->since < rest_) --resting;
    while (resting != kept.begin()) {
      Kept last = std::move(*std::prev(resting));
      resting = kept.erase(std::prev(resting)), --idle_now_;
      if (now - last.since < idle_ && !last.link.stream().stale()) return std::move(last.link);
    }
    return std::nullopt;
  }
  // Where none has rested: the one that will have first. Waits until then, and gives none if anything came on
  // it meanwhile.
  std::optional<http::ClientConnection> take_once_rested(const net::Address& to) {
    std::optional<Kept> first;
    {
      const std::lock_guard lock(mutex_);
      const auto it = kept_.find(to);
      if (it == kept_.end() || it->second.empty()) return std::nullopt;
      first = std::move(it->second.front());
      it->second.pop_front(), --idle_now_;
    }
    const Instant rested = first->since + rest_;
    if (first->link.stream().stale(rested)) return std::nullopt;
    return std::move(first->link);
  }
  void give_back(const net::Address& to, http::ClientConnection link) {
    if (!link.reusable()) return;
    // Whoever used it last is watched no more: its descriptor may be another's by now.
    link.stream().watch(-1);
    const std::lock_guard lock(mutex_);
    auto& kept = kept_[to];
    // In the order in which they were given back: those too old stand in front.
    while (!kept.empty() && net::clock_now() - kept.front().since >= idle_) kept.pop_front(), --idle_now_;
    if (kept.size() >= most_each_) return;
    while (idle_now_ >= most_ && oldest_goes()) {}
    if (idle_now_ >= most_) return;
    kept_[to].push_back({std::move(link), net::clock_now()}), ++idle_now_;
  }
  void drop(const net::Address& to) {
    const std::lock_guard lock(mutex_);
    if (const auto it = kept_.find(to); it != kept_.end()) idle_now_ -= it->second.size(), kept_.erase(it);
  }
  // Closes those that were not used for too long.
  void sweep() {
    const std::lock_guard lock(mutex_);
    const Instant now = net::clock_now();
    for (auto it = kept_.begin(); it != kept_.end();) {
      while (!it->second.empty() && now - it->second.front().since >= idle_)
        it->second.pop_front(), --idle_now_;
      it = it->second.empty() ? kept_.erase(it) : std::next(it);
    }
  }
  // Closes the one that has been idle for longest; false if none is idle.
  bool drop_oldest() {
    const std::lock_guard lock(mutex_);
    return oldest_goes();
  }
  std::size_t idle() const {
    const std::lock_guard lock(mutex_);
    return idle_now_;
  }

 private:
  struct Kept {
    http::ClientConnection link;
    Instant since;
  };
  bool oldest_goes() {
    auto oldest = kept_.end();
    for (auto it = kept_.begin(); it != kept_.end(); ++it)
      if (!it->second.empty() &&
          (oldest == kept_.end() || it->second.front().since < oldest->second.front().since))
        oldest = it;
    if (oldest == kept_.end()) return false;
    oldest->second.pop_front(), --idle_now_;
    return true;
  }

  const Span idle_;
  const std::size_t most_each_, most_;
  const Span rest_;
  mutable std::mutex mutex_;
  std::size_t idle_now_ = 0;
  std::map<net::Address, std::deque<Kept>> kept_;
};

}  // namespace calicograde::front
