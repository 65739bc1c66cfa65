#pragma once

#include <cstdint>
#include <optional>

namespace calicograde::front {

// Who may speak to the client. Sends of one inference can begin an answer at the same time, while the module
// sheds it and its client hangs up: the first claim wins, all later ones are told so. Not thread-safe; its
// owner locks.
class Claim {
 public:
  enum class State { Open, Streaming, Answered, Left };
  bool stream(std::uint8_t send) {
    if (state_ != State::Open) return false;
    state_ = State::Streaming, send_ = send;
    return true;
  }
  bool answer() { return state_ == State::Open && (state_ = State::Answered, true); }
  // The client's thread goes. True if nothing was claimed: the module must hear that the client left.
  bool leave() {
    const bool open = state_ == State::Open;
    if (open) state_ = State::Left;
    return open;
  }
  State state() const { return state_; }
  std::optional<std::uint8_t> send() const {
    return state_ == State::Streaming ? std::optional(send_) : std::nullopt;
  }

 private:
  State state_ = State::Open;
  std::uint8_t send_ = 0;
};

}  // namespace calicograde::front
