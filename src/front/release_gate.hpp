#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "net/clock.hpp"

namespace calicograde::front {

// Orders releases of all that is held for one inference against its attempts. A release that reaches the
// engines after a newer read has ended takes that read's state with it, and its writer finds none. So no
// release is written once a newer attempt has been, and an attempt waits for a release that was ordered: one
// that gave way would leave what is held to an attempt that may not arrive.
// Thread-safe.
class ReleaseGate {
 public:
  // A release is ordered; end_release() follows. How many attempts were written so far, to be given back to
  // may_release().
  int order_release() {
    const std::lock_guard lock(mutex_);
    ++releases_;
    return attempts_;
  }
  // An attempt is about to be written. True once no release is ordered or on its way; false where one still
  // is at `until`, since its engine may not answer at all.
  bool begin_attempt(Instant until) {
    std::unique_lock lock(mutex_);
    const Span left = std::max(Span{}, until - net::clock_now());
    const bool none_is_out =
        idle_.wait_for(lock, std::chrono::microseconds(left.as_micros()), [&] { return releases_ == 0; });
    ++attempts_;
    return none_is_out;
  }
  // False: an attempt was written since the order, and the release must not be.
  bool may_release(int attempts) const {
    const std::lock_guard lock(mutex_);
    return attempts == attempts_;
  }
  // Ends one whatever way its scope is left.
  class EndRelease {
   public:
    explicit EndRelease(ReleaseGate& gate) : gate_(gate) {}
    ~EndRelease() { gate_.end_release(); }
    EndRelease(const EndRelease&) = delete;
    EndRelease& operator=(const EndRelease&) = delete;

   private:
    ReleaseGate& gate_;
  };
  void end_release() {
    const std::lock_guard lock(mutex_);
    --releases_;
    idle_.notify_all();
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  int attempts_ = 0, releases_ = 0;
};

}  // namespace calicograde::front
