#pragma once

#include <memory>
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
  // The shared opening: the tools, the system text, and of the first turn what stands up to its last
  // cache_control mark.
  std::string opening;
};

// A call's body. What is not supported is refused by name. `counting`: of count_tokens, which has no
// max_tokens.
std::variant<Call, ApiError> parse_call(std::string_view body, bool counting = false);

enum class StopReason { EndTurn, MaxTokens, StopSequence, Refusal, ToolUse, PauseTurn };

// Who makes the call that a block asks for: the client (tool_use), or this front (mcp_tool_use, as the API
// names what is called on the client's behalf).
enum class Calls { Client, Front };

// Writes one answer, block by block. For a stream each function returns events that are ready to be sent; for
// a whole answer they return nothing until end() returns the body. Blocks are opened and closed as they come.
class AnswerWriter {
 public:
  AnswerWriter(std::string id, std::string model, bool stream);
  ~AnswerWriter();
  AnswerWriter(AnswerWriter&&) noexcept;
  std::string begin(const Usage& usage);  // message_start
  std::string text(std::string_view piece);
  std::string use(Calls by, std::string_view id, std::string_view name, std::string_view server);
  std::string input(std::string_view piece);  // of the use opened last
  // The result of a call that this front made (mcp_tool_result).
  std::string result(std::string_view use_id, std::string_view text, bool error);
  std::string end(StopReason reason, std::string_view stop, const Usage& usage);
  static std::string ping();
  static std::string error(const ApiError& error);

 private:
  struct Parts;
  std::string close();
  std::string open(const char* kind, const std::string& block);
  std::unique_ptr<Parts> parts_;
};

std::string count_body(double tokens);

}  // namespace calicograde::messages
