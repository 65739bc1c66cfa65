#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

#include "core/prompt.hpp"
#include "core/types.hpp"
#include "http/http.hpp"
#include "prefix/index.hpp"

// What a client asks for, as the protocols hand it to the core.
namespace calicograde::front {

// A request that is passed on to engines as it came. Its head and body are let go once no further attempt can
// need them, and their room with them.
class Passed {
 public:
  struct Content {
    std::shared_ptr<void> room;
    std::string rest_of_head;  // the fields meant for engines, and the empty line
    std::string body;
  };
  Passed(std::string its_id, std::string its_method, std::string its_target, Content content)
      : id(std::move(its_id)),
        method(std::move(its_method)),
        target(std::move(its_target)),
        content_(std::make_shared<const Content>(std::move(content))) {}
  const std::string id, method, target;
  std::shared_ptr<const Content> content() const {
    const std::lock_guard lock(mutex_);
    return content_;
  }
  void let_content_go() const {
    auto none = std::make_shared<const Content>(Content{{}, "\r\n", {}});
    const std::lock_guard lock(mutex_);
    content_.swap(none);
  }

 private:
  mutable std::mutex mutex_;
  mutable std::shared_ptr<const Content> content_;
};

// What a client protocol asks for.
struct Asked {
  std::size_t route = 0;                 // in settings::Front::routes
  std::shared_ptr<const Prompt> prompt;  // null where the request is passed on as it came:
  std::shared_ptr<const Passed> passed;
  TextKey session = 0, shared_text = 0;
  double prompt_tokens = 0, shared_tokens = 0, max_answer_tokens = 0;
  std::shared_ptr<const prefix::Chain> chain;  // of the prompt's blocks; null = the pool has no index
  std::size_t prompt_bytes = 0;
  Instant ends;                // of the client's budget
  std::string dedupe_key;      // passed on to engines; empty = none
  std::uint16_t customer = 0;  // by the credentials that it came with; 0 = none
  bool goes_on = false;        // of a message that was taken: not refused for a drain
  bool repeat = false;         // the client marks it as one
  bool resumed = false;        // the client asks for the rest of an answer that broke
  bool key_taken = false;      // an inference before it holds the client's key: it is not asked for again
  // Its client's connection, there until the ticket forgets it; null = nobody is watched.
  http::ServerConnection* client = nullptr;
};

}  // namespace calicograde::front
