#pragma once

#include <list>
#include <map>
#include <memory>
#include <mutex>

#include "front/tool_calls.hpp"

namespace calicograde::front {

// The callers of relayed tools, one a session of messages, so that a tool that keeps something for its caller
// finds it again with the session's next message. Bounded: the longest unused goes first.
class CallerBook {
 public:
  explicit CallerBook(std::size_t most) : most_(most) {}
  std::shared_ptr<Caller> of(std::uint64_t session) {
    const std::lock_guard lock(mutex_);
    if (const auto it = book_.find(session); it != book_.end()) {
      used_.splice(used_.end(), used_, it->second.place);
      return it->second.caller;
    }
    while (book_.size() >= most_) book_.erase(used_.front()), used_.pop_front();
    used_.push_back(session);
    auto caller = std::make_shared<Caller>(session);
    book_[session] = {caller, std::prev(used_.end())};
    return caller;
  }

 private:
  struct Entry {
    std::shared_ptr<Caller> caller;
    std::list<std::uint64_t>::iterator place;
  };
  const std::size_t most_;
  std::mutex mutex_;
  std::list<std::uint64_t> used_;
  std::map<std::uint64_t, Entry> book_;
};

}  // namespace calicograde::front
