#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "net/socket.hpp"

namespace calicograde::front {

// Whether a send is to stop, and the socket on which it waits. Shared by the send's thread and the modules'
// owner.
class SendControl {
 public:
  // Runs it once the send's last byte is written (true), or once it is sure that none will be (false).
  void once_written(std::function<void(bool)> what) {
    std::optional<bool> known;
    {
      const std::lock_guard lock(mutex_);
      if (!(known = written_)) then_.push_back(std::move(what));
    }
    if (known) what(*known);
  }
  void written(bool whole) {
    std::vector<std::function<void(bool)>> then;
    {
      const std::lock_guard lock(mutex_);
      if (written_) return;
      written_ = whole, then = std::exchange(then_, {});
    }
    for (const auto& what : then) what(whole);
  }
  // Whether it waits for its outcome: asked for later, a place would be nobody's.
  bool out() const {
    const std::lock_guard lock(mutex_);
    return !over_;
  }
  void over() {
    written(false);  // where it was not
    const std::lock_guard lock(mutex_);
    over_ = true;
  }
  // What a stop does to the connection of an attempt that waits for its answer.
  enum class OnStop {
    Shut,       // ends it in both directions, and with it the wait
    EndSending  // gives the attempt up; what its engine still says can be heard
  };
  void stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    if (!stream_) return;
    if (on_stop_ == OnStop::Shut) stream_->shut();
    else stream_->end_sending();
  }
  bool attach(const net::Stream& stream, OnStop on_stop = OnStop::Shut) {
    const std::lock_guard lock(mutex_);
    if (stopped_) return false;
    stream_ = &stream, on_stop_ = on_stop;
    return true;
  }
  // From here on a stop changes nothing. False if it was stopped before.
  bool detach() {
    const std::lock_guard lock(mutex_);
    stream_ = nullptr;
    return !stopped_;
  }
  bool stopped() const {
    const std::lock_guard lock(mutex_);
    return stopped_;
  }

 private:
  mutable std::mutex mutex_;
  const net::Stream* stream_ = nullptr;
  OnStop on_stop_ = OnStop::Shut;
  bool stopped_ = false, over_ = false;
  std::optional<bool> written_;
  std::vector<std::function<void(bool)>> then_;
};

struct Detach {
  SendControl& control;
  ~Detach() { control.detach(); }
};

}  // namespace calicograde::front
