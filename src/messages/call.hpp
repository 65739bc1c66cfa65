#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/prompt.hpp"

// The messages API as its public specification has it: bodies, errors and stream events. Free of I/O.
namespace calicograde::messages {

struct ApiError {
  int status = 400;
  std::string type, message;
};
std::string body_of(const ApiError& error, std::string_view request_id);

// Error types and their statuses (specification, "Errors").
ApiError invalid(std::string message);     // 400 invalid_request_error
ApiError not_found(std::string message);   // 404 not_found_error
ApiError too_large(std::string message);   // 413 request_too_large
ApiError overloaded(std::string message);  // 529 overloaded_error
ApiError failed(std::string message);      // 500 api_error
ApiError timed_out(std::string message);   // 504 timeout_error

struct Call {
  std::string model;
  Prompt prompt;
  bool stream = false;
  std::string user_id;
  // The shared opening: the system text, and of the first turn what stands up to its last cache_control mark.
  std::string opening;
};

// A call's body. What is not supported is refused by name. `counting`: of count_tokens, which has no
// max_tokens.
std::variant<Call, ApiError> parse_call(std::string_view body, bool counting = false);

enum class StopReason { EndTurn, MaxTokens, StopSequence, Refusal };

// Writes one answer, as stream events or whole. Each function returns text ready to be sent.
class AnswerWriter {
 public:
  AnswerWriter(std::string id, std::string model) : id_(std::move(id)), model_(std::move(model)) {}
  std::string begin(const Usage& usage) const;  // message_start, content_block_start
  std::string delta(std::string_view text) const;
  // content_block_stop, message_delta, message_stop
  std::string end(StopReason reason, std::string_view stop, const Usage& usage) const;
  std::string whole(std::string_view text, StopReason reason, std::string_view stop,
                    const Usage& usage) const;
  static std::string ping();
  static std::string error(const ApiError& error);

 private:
  std::string id_, model_;
};

std::string count_body(double tokens);

}  // namespace calicograde::messages
