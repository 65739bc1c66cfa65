#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "core/time.hpp"

namespace calicograde::front {

// A queue between threads with a bound. What may be refused (arrivals) is refused from half its bound on, so
// that what must not be lost (outcomes) finds room; that waits for room where there is none.
template <class T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t most) : most_(most) {}
  bool offer(T item) {
    const std::lock_guard lock(mutex_);
    if (items_.size() >= (most_ + 1) / 2) return false;
    items_.push_back(std::move(item));
    filled_.notify_one();
    return true;
  }
  void put(T item) {
    std::unique_lock lock(mutex_);
    emptied_.wait(lock, [&] { return items_.size() < most_ || closed_; });
    if (closed_) return;
    items_.push_back(std::move(item));
    filled_.notify_one();
  }
  // Beyond its bound where need be: for the few reports of whoever takes from it, which would wait for
  // itself.
  void put_now(T item) {
    const std::lock_guard lock(mutex_);
    if (closed_) return;
    items_.push_back(std::move(item));
    filled_.notify_one();
  }
  // Everything that waits, at most after `wait`; empty if nothing came.
  std::deque<T> take(Span wait) {
    std::unique_lock lock(mutex_);
    filled_.wait_for(lock,
                     std::chrono::microseconds(
                         std::max<std::int64_t>(0, static_cast<std::int64_t>(wait.as_millis() * 1000))),
                     [&] { return !items_.empty() || closed_; });
    std::deque<T> out = std::exchange(items_, {});
    emptied_.notify_all();
    return out;
  }
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    filled_.notify_all(), emptied_.notify_all();
  }
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  const std::size_t most_;
  mutable std::mutex mutex_;
  std::condition_variable filled_, emptied_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace calicograde::front
