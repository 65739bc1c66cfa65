#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// JSON-RPC 2.0 messages as the Model Context Protocol (revision 2025-06-18, "Base Protocol") has them. Free
// of I/O. Params, results and errors are passed on as the JSON text that came: a front relays what it need
// not read.
namespace calicograde::rpc {

// An id is a string or a whole number, kept as its JSON text: 7 and "7" are two ids.
using Id = std::string;

struct Request {
  Id id;
  std::string method, params;  // params: JSON, empty if absent
};
struct Notification {
  std::string method, params;
};
struct Response {
  Id id;
  std::string result, error;  // one of them, JSON
};
// What is no message: the code and words to answer with, and the id where it could be read.
struct Wrong {
  int code = -32600;
  std::string what;
  std::optional<Id> id;
};
using Message = std::variant<Request, Notification, Response, Wrong>;

inline constexpr int parse_error = -32700, invalid_message = -32600, unknown_method = -32601,
                     bad_params = -32602, internal_error = -32603;
// In the range that JSON-RPC leaves to servers.
inline constexpr int busy = -32001, outcome_unknown = -32002, timed_out = -32003;

// One message; a batch is refused, as the revision asks.
Message parse(std::string_view text);

std::string text_of(const Request& r);
std::string text_of(const Notification& n);
std::string text_of(const Response& r);
std::string error_text(const std::optional<Id>& id, int code, std::string_view message,
                       std::string_view data = {});

// Members of params, or of a result: a string, a number, a part as JSON; none if absent or of another type.
std::optional<std::string> member_text(std::string_view json, std::initializer_list<std::string_view> path);
std::optional<std::string> member_json(std::string_view json, std::initializer_list<std::string_view> path);
// The tools of a tools/list result; what is no tool is passed over.
struct Tool {
  std::string name, schema, definition, description;  // schema and definition as JSON
  std::optional<bool> idempotent, read_only;
};
std::vector<Tool> tools_of(std::string_view result);
std::string quoted(std::string_view text);  // as a JSON string
std::string tool_definition(std::string_view name, std::string_view description, std::string_view schema);
// A result of tools/call that holds one text, and what a result says to a model: its texts, or else whatever
// it holds, as JSON.
std::string text_result(std::string_view text, bool error);
struct ToolText {
  std::string text;
  bool error = false;
};
ToolText text_of_result(std::string_view result);
// The same object with a member set, its parents made where they are missing.
std::string with_member(std::string_view json, std::initializer_list<std::string_view> path,
                        std::string_view value);

}  // namespace calicograde::rpc
