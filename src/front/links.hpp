#pragma once

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
  Links(Span idle, std::size_t most_each) : idle_(idle), most_(most_each) {}

  // The one used last, if it still is as it was left; those that are too old or closed by the engine go.
  std::optional<http::ClientConnection> take(const net::Address& to) {
    const std::lock_guard lock(mutex_);
    auto& kept = kept_[to];
    while (!kept.empty()) {
      Kept last = std::move(kept.back());
      kept.pop_back();
      if (net::clock_now() - last.since < idle_ && !last.link.stream().stale()) return std::move(last.link);
    }
    return std::nullopt;
  }
  void give_back(const net::Address& to, http::ClientConnection link) {
    if (!link.reusable()) return;
    // Whoever used it last is watched no more: its descriptor may be another's by now (found by a day with
    // tool servers, where sends on kept links ended as not reached).
    link.stream().watch(-1);
    const std::lock_guard lock(mutex_);
    auto& kept = kept_[to];
    std::erase_if(kept, [&](const Kept& k) { return net::clock_now() - k.since >= idle_; });
    if (kept.size() < most_) kept.push_back({std::move(link), net::clock_now()});
  }
  void drop(const net::Address& to) {
    const std::lock_guard lock(mutex_);
    kept_.erase(to);
  }

 private:
  struct Kept {
    http::ClientConnection link;
    Instant since;
  };
  const Span idle_;
  const std::size_t most_;
  std::mutex mutex_;
  std::map<net::Address, std::vector<Kept>> kept_;
};

}  // namespace calicograde::front
