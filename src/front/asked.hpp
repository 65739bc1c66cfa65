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

// A request that is passed on to engines as it came. Its body is let go once no further send can need it.
class Passed {
 public:
  Passed(std::string its_id, std::string its_method, std::string its_target, http::Headers its_headers,
         std::string body, std::shared_ptr<void> room)
      : id(std::move(its_id)),
        method(std::move(its_method)),
        target(std::move(its_target)),
        headers(std::move(its_headers)),
        body_(std::make_shared<const std::string>(std::move(body))),
        room_(std::move(room)) {}
  const std::string id, method, target;
  const http::Headers headers;  // those meant for engines
  std::shared_ptr<const std::string> body() const {
    const std::lock_guard lock(mutex_);
    return body_;
  }
  void let_body_go() const {
    const std::lock_guard lock(mutex_);
    body_ = std::make_shared<const std::string>(), room_.reset();
  }

 private:
  mutable std::mutex mutex_;
  mutable std::shared_ptr<const std::string> body_;
  mutable std::shared_ptr<void> room_;
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
