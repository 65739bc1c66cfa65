#include "messages/call.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "http/http.hpp"

namespace calicograde::messages {
namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json& j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }

struct Refused {
  ApiError error;
};
[[noreturn]] void refuse(const std::string& where, const std::string& what) {
  throw Refused{invalid(where + ": " + what)};
}

constexpr int most_nested = 64;

Json parse_json(std::string_view body) {
  try {
    return Json::parse(body, [](int depth, Json::parse_event_t, Json&) {
      if (depth > most_nested) throw Refused{invalid("the body is nested deeper than 64 levels")};
      return true;
    });
  } catch (const Json::parse_error& e) {
    throw Refused{invalid("the body is no JSON, at byte " + std::to_string(e.byte))};
  } catch (const Json::exception&) {
    // A number that no double holds.
    throw Refused{invalid("the body holds a number that is out of range")};
  }
}

const std::string& text_at(const Json& j, const std::string& where) {
  if (!j.is_string()) refuse(where, "a string is wanted");
  return j.get_ref<const std::string&>();
}

int whole_at(const Json& j, const std::string& where, int least, int most) {
  if (!j.is_number_integer() || j.get<double>() < least || j.get<double>() > most)
    refuse(where,
           "a whole number from " + std::to_string(least) + " to " + std::to_string(most) + " is wanted");
  return j.get<int>();
}

double share_at(const Json& j, const std::string& where, double most) {
  if (!j.is_number() || !(j.get<double>() >= 0 && j.get<double>() <= most))
    refuse(where, "a number from 0 to " + std::to_string(static_cast<int>(most)) + " is wanted");
  return j.get<double>();
}

// Text of a string or of an array of text blocks; `marked`: up to where the last cache_control mark stands.
std::string content(const Json& j, const std::string& where, std::size_t* marked) {
  if (j.is_string()) return j.get<std::string>();
  if (!j.is_array()) refuse(where, "a string or an array of content blocks is wanted");
  std::string out;
  for (std::size_t k = 0; k < j.size(); ++k) {
    const std::string at = where + "." + std::to_string(k);
    const Json& block = j[k];
    if (!block.is_object() || !block.contains("type")) refuse(at, "a content block with a type is wanted");
    const std::string type = text_at(block["type"], at + ".type");
    if (type != "text") refuse(at, "content blocks of type '" + type + "' are not supported here");
    if (!block.contains("text")) refuse(at + ".text", "Field required");
    for (const auto& [key, value] : block.items()) {
      if (key == "type" || key == "text") continue;
      if (key != "cache_control") refuse(at + "." + key, "is not supported here");
    }
    out += text_at(block["text"], at + ".text");
    if (marked && block.contains("cache_control") && !block["cache_control"].is_null()) *marked = out.size();
  }
  return out;
}

const std::string& field(const Json& block, const char* name, const std::string& at) {
  if (!block.contains(name)) refuse(at + "." + name, "Field required");
  return text_at(block[name], at + "." + name);
}
void only(const Json& block, const std::string& at, std::initializer_list<std::string_view> known) {
  for (const auto& [key, value] : block.items())
    if (std::find(known.begin(), known.end(), key) == known.end())
      refuse(at + "." + key, "is not supported here");
}

// The turns of a conversation. A message of the assistant may hold rounds that the front made itself
// (mcp_tool_use and mcp_tool_result): they become turns of their own, as the model saw them.
class Turns {
 public:
  explicit Turns(Call& call) : call_(call), turns_(call.prompt.turns) {}

  void take(const Json& list) {
    if (!list.is_array() || list.empty()) refuse("messages", "an array with at least one message is wanted");
    for (std::size_t k = 0; k < list.size(); ++k) message(list[k], "messages." + std::to_string(k), k == 0);
    if (!carried_.empty() || !awaited_.empty())
      refuse("messages", "tool_use ids were found without tool_result blocks after them: " +
                             (awaited_.empty() ? carried_.front().id : *awaited_.begin()));
    if (turns_.back().assistant)
      refuse("messages",
             "an answer begun by the client (a last message of the assistant) is not supported here");
  }

 private:
  void message(const Json& m, const std::string& at, bool first) {
    if (!m.is_object()) refuse(at, "an object is wanted");
    only(m, at, {"role", "content"});
    if (!m.contains("content")) refuse(at + ".content", "Field required");
    const std::string& role = field(m, "role", at);
    if (role != "user" && role != "assistant") refuse(at + ".role", "'user' or 'assistant' is wanted");
    if (first && role == "assistant") refuse(at + ".role", "the first message must be the user's");
    const Json& c = m["content"];
    if (role == "assistant") assistant(c, at + ".content");
    else user(c, at + ".content", first);
  }

  const std::string& type_of(const Json& block, const std::string& at) const {
    if (!block.is_object() || !block.contains("type")) refuse(at, "a content block with a type is wanted");
    return text_at(block["type"], at + ".type");
  }

  void user(const Json& c, const std::string& at, bool first) {
    Turn t{false, {}, {}, std::exchange(carried_, {})};
    std::size_t marked = 0;
    Json rest = Json::array();
    if (c.is_array()) {
      for (std::size_t k = 0; k < c.size(); ++k) {
        const std::string here = at + "." + std::to_string(k);
        if (type_of(c[k], here) != "tool_result") {
          rest.push_back(c[k]);
          continue;
        }
        if (!rest.empty()) refuse(here, "tool_result blocks come before text");
        only(c[k], here, {"type", "tool_use_id", "content", "is_error", "cache_control"});
        ToolResult r{field(c[k], "tool_use_id", here), {}, false};
        if (awaited_.erase(r.id) == 0)
          refuse(here + ".tool_use_id", "no tool_use of this id stands in the message before");
        if (c[k].contains("content")) r.text = content(c[k]["content"], here + ".content", nullptr);
        if (c[k].contains("is_error")) {
          if (!c[k]["is_error"].is_boolean()) refuse(here + ".is_error", "true or false is wanted");
          r.error = c[k]["is_error"].get<bool>();
        }
        t.results.push_back(std::move(r));
      }
    } else {
      rest = c;
    }
    if (!awaited_.empty())
      refuse(at, "tool_use ids were found without tool_result blocks right after them: " + *awaited_.begin());
    if (!rest.is_array() || !rest.empty() || t.results.empty())
      t.text = content(rest, at, first ? &marked : nullptr);
    if (first) call_.opening += t.text.substr(0, marked);
    if (!turns_.empty() && !turns_.back().assistant) {
      Turn& last = turns_.back();
      if (!t.results.empty() && !last.text.empty())
        refuse(at, "tool_result blocks follow the message that asked for them");
      last.results.insert(last.results.end(), t.results.begin(), t.results.end());
      last.text += (last.text.empty() ? "" : "\n") + t.text;
    } else {
      turns_.push_back(std::move(t));
    }
  }

  void assistant(const Json& c, const std::string& at) {
    if (!awaited_.empty() || !carried_.empty())
      refuse(at, "tool_use ids were found without tool_result blocks right after them");
    now_ = Turn{true, {}, {}, {}};
    if (c.is_string()) {
      now_.text = c.get<std::string>();
    } else {
      if (!c.is_array()) refuse(at, "a string or an array of content blocks is wanted");
      for (std::size_t k = 0; k < c.size(); ++k) block(c[k], at + "." + std::to_string(k));
    }
    const bool whole = !carried_.empty() && awaited_.empty() && open_.empty();
    if (!open_.empty()) refuse(at, "mcp_tool_use of id " + *open_.begin() + " has no mcp_tool_result");
    push();
    if (whole) turns_.push_back({false, {}, {}, std::exchange(carried_, {})});
  }

  void block(const Json& b, const std::string& at) {
    const std::string& type = type_of(b, at);
    const bool ours = type == "mcp_tool_use";
    if (type != "text" && type != "tool_use" && !ours && type != "mcp_tool_result")
      refuse(at, "content blocks of type '" + type + "' are not supported here");
    // What follows results was written after them: a round of its own.
    if (type != "mcp_tool_result" && !carried_.empty() && open_.empty() && awaited_.empty()) {
      push();
      turns_.push_back({false, {}, {}, std::exchange(carried_, {})});
    }
    if (type == "text") {
      only(b, at, {"type", "text", "cache_control"});
      now_.text += field(b, "text", at);
    } else if (type == "mcp_tool_result") {
      only(b, at, {"type", "tool_use_id", "content", "is_error"});
      ToolResult r{field(b, "tool_use_id", at), {}, false};
      if (open_.erase(r.id) == 0) refuse(at + ".tool_use_id", "no mcp_tool_use of this id stands before");
      if (b.contains("content")) r.text = content(b["content"], at + ".content", nullptr);
      if (b.contains("is_error") && b["is_error"].is_boolean()) r.error = b["is_error"].get<bool>();
      carried_.push_back(std::move(r));
    } else {
      only(b, at, {"type", "id", "name", "input", "server_name", "cache_control"});
      if (!b.contains("input") || !b["input"].is_object()) refuse(at + ".input", "an object is wanted");
      ToolUse u{field(b, "id", at), field(b, "name", at), dump(b["input"])};
      if (!(ours ? open_ : awaited_).insert(u.id).second) refuse(at + ".id", "this id stands twice");
      now_.uses.push_back(std::move(u));
    }
  }

  void push() {
    Turn t = std::exchange(now_, Turn{true, {}, {}, {}});
    if (!turns_.empty() && turns_.back().assistant && turns_.back().uses.empty()) {
      turns_.back().text += "\n" + t.text, turns_.back().uses = std::move(t.uses);
    } else {
      turns_.push_back(std::move(t));
    }
  }

  Call& call_;
  std::vector<Turn>& turns_;
  Turn now_;
  std::set<std::string> awaited_, open_;  // uses without a result: the client's, the front's
  std::vector<ToolResult> carried_;       // results that the next user's turn holds
};

constexpr std::size_t most_tools = 128;

void take_tools(const Json& list, Call& call) {
  if (!list.is_array() || list.size() > most_tools) refuse("tools", "an array of up to 128 tools is wanted");
  std::set<std::string> names;
  for (std::size_t k = 0; k < list.size(); ++k) {
    const std::string at = "tools." + std::to_string(k);
    const Json& t = list[k];
    if (!t.is_object()) refuse(at, "an object is wanted");
    if (t.contains("type") && !t["type"].is_null() && text_at(t["type"], at + ".type") != "custom")
      refuse(at + ".type", "tools of type '" + t["type"].get<std::string>() + "' are not supported here");
    only(t, at, {"type", "name", "description", "input_schema", "cache_control"});
    ToolOffer tool{field(t, "name", at), {}, {}};
    if (tool.name.empty() || tool.name.size() > 128) refuse(at + ".name", "1 to 128 characters are wanted");
    if (!names.insert(tool.name).second) refuse(at + ".name", "this name stands twice");
    if (t.contains("description")) tool.description = text_at(t["description"], at + ".description");
    if (!t.contains("input_schema")) refuse(at + ".input_schema", "Field required");
    if (!t["input_schema"].is_object()) refuse(at + ".input_schema", "an object is wanted");
    tool.schema = dump(t["input_schema"]);
    call.opening += tool.name + tool.description + tool.schema;
    call.prompt.tools.push_back(std::move(tool));
  }
}

void take_choice(const Json& j, Call& call) {
  if (!j.is_object()) refuse("tool_choice", "an object is wanted");
  only(j, "tool_choice", {"type", "name", "disable_parallel_tool_use"});
  const std::string& type = field(j, "type", "tool_choice");
  using H = ToolChoice::How;
  ToolChoice& c = call.prompt.choice;
  if (type == "auto") c.how = H::Auto;
  else if (type == "any") c.how = H::Any;
  else if (type == "none") c.how = H::None;
  else if (type == "tool") c.how = H::One, c.name = field(j, "name", "tool_choice");
  else refuse("tool_choice.type", "'auto', 'any', 'tool' or 'none' is wanted");
  if (j.contains("disable_parallel_tool_use")) {
    if (!j["disable_parallel_tool_use"].is_boolean())
      refuse("tool_choice.disable_parallel_tool_use", "true or false is wanted");
    c.one_at_once = j["disable_parallel_tool_use"].get<bool>();
  }
}

Call take(const Json& j, bool counting) {
  if (!j.is_object()) refuse("body", "an object is wanted");
  Call call;
  for (const char* needed : {"model", "messages", "max_tokens"})
    if (!j.contains(needed) && !(counting && std::string_view(needed) == "max_tokens"))
      refuse(needed, "Field required");
  if (j.contains("tools")) take_tools(j["tools"], call);
  if (j.contains("system")) {
    call.prompt.system = content(j["system"], "system", nullptr);
    call.opening += call.prompt.system;
  }
  for (const auto& [key, value] : j.items()) {
    if (key == "model") {
      call.model = text_at(value, key);
      if (call.model.empty() || call.model.size() > 256) refuse(key, "1 to 256 characters are wanted");
    } else if (key == "messages") {
      Turns(call).take(value);
    } else if (key == "system" || key == "tools") {
      continue;
    } else if (key == "tool_choice") {
      take_choice(value, call);
    } else if (key == "max_tokens" && !counting) {
      call.prompt.max_tokens = whole_at(value, key, 1, 1000000);
    } else if (key == "stream" && !counting) {
      if (!value.is_boolean()) refuse(key, "true or false is wanted");
      call.stream = value.get<bool>();
    } else if (key == "stop_sequences" && !counting) {
      if (!value.is_array() || value.size() > 64) refuse(key, "an array of up to 64 strings is wanted");
      for (const auto& s : value) {
        if (text_at(s, key).empty()) refuse(key, "a stop sequence can't be empty");
        call.prompt.stops.push_back(s.get<std::string>());
      }
    } else if (key == "metadata" && !counting) {
      if (!value.is_object()) refuse(key, "an object is wanted");
      for (const auto& [name, v] : value.items()) {
        if (name != "user_id") refuse(key + "." + name, "is not supported here");
        if (!v.is_null()) call.user_id = text_at(v, "metadata.user_id");
        if (call.user_id.size() > 256) refuse("metadata.user_id", "at most 256 characters are wanted");
      }
    } else if (key == "temperature" && !counting) {
      call.prompt.temperature = share_at(value, key, 1);
    } else if (key == "top_p" && !counting) {
      call.prompt.top_p = share_at(value, key, 1);
    } else if (key == "top_k" && !counting) {
      call.prompt.top_k = whole_at(value, key, 0, 1000000);
    } else {
      refuse(key, "is not supported here");
    }
  }
  const auto& choice = call.prompt.choice;
  const bool named = std::any_of(call.prompt.tools.begin(), call.prompt.tools.end(),
                                 [&](const ToolOffer& t) { return t.name == choice.name; });
  if (choice.how == ToolChoice::How::One && !named)
    refuse("tool_choice.name", "no tool of this name stands under tools");
  return call;
}

const char* name_of(StopReason r) {
  switch (r) {
    case StopReason::MaxTokens: return "max_tokens";
    case StopReason::StopSequence: return "stop_sequence";
    case StopReason::Refusal: return "refusal";
    case StopReason::ToolUse: return "tool_use";
    case StopReason::PauseTurn: return "pause_turn";
    case StopReason::EndTurn: break;
  }
  return "end_turn";
}

// The API counts what was found kept beside the other input, not in it.
Json usage_of(const Usage& u) {
  const auto whole = [](double n) { return static_cast<std::int64_t>(std::llround(std::max(0.0, n))); };
  return {{"input_tokens", whole(u.prompt_tokens - u.kept_tokens)},
          {"cache_creation_input_tokens", 0},
          {"cache_read_input_tokens", whole(u.kept_tokens)},
          {"output_tokens", whole(u.answer_tokens)}};
}

Json error_json(const ApiError& e) {
  return {{"type", "error"}, {"error", {{"type", e.type}, {"message", e.message}}}};
}

Json stop_of(StopReason reason, std::string_view stop) {
  Json out{{"stop_reason", name_of(reason)}, {"stop_sequence", nullptr}};
  if (reason == StopReason::StopSequence) out["stop_sequence"] = stop;
  return out;
}

std::string event(std::string_view name, const Json& data) { return http::event_text(name, dump(data)); }

}  // namespace

std::string body_of(const ApiError& error, std::string_view request_id) {
  Json j = error_json(error);
  j["request_id"] = request_id;
  return dump(j);
}

ApiError invalid(std::string m) { return {400, "invalid_request_error", std::move(m)}; }
ApiError not_found(std::string m) { return {404, "not_found_error", std::move(m)}; }
ApiError too_large(std::string m) { return {413, "request_too_large", std::move(m)}; }
ApiError overloaded(std::string m) { return {529, "overloaded_error", std::move(m)}; }
ApiError failed(std::string m) { return {500, "api_error", std::move(m)}; }
ApiError timed_out(std::string m) { return {504, "timeout_error", std::move(m)}; }

std::variant<Call, ApiError> parse_call(std::string_view body, bool counting) {
  try {
    return take(parse_json(body), counting);
  } catch (const Refused& r) {
    return r.error;
  }
}

struct AnswerWriter::Parts {
  std::string id, model;
  bool stream = false;
  int next = 0;
  const char* open = nullptr;  // the kind of the block that is open
  Json blocks = Json::array();
  std::string input;  // of the use that is open
};

AnswerWriter::AnswerWriter(std::string id, std::string model, bool stream)
    : parts_(std::make_unique<Parts>()) {
  parts_->id = std::move(id), parts_->model = std::move(model), parts_->stream = stream;
}
AnswerWriter::~AnswerWriter() = default;
AnswerWriter::AnswerWriter(AnswerWriter&&) noexcept = default;

std::string AnswerWriter::begin(const Usage& usage) {
  if (!parts_->stream) return {};
  const Json message{{"id", parts_->id},         {"type", "message"},        {"role", "assistant"},
                     {"model", parts_->model},   {"content", Json::array()}, {"stop_reason", nullptr},
                     {"stop_sequence", nullptr}, {"usage", usage_of(usage)}};
  return event("message_start", {{"type", "message_start"}, {"message", message}});
}

std::string AnswerWriter::open(const char* kind, const std::string& block) {
  std::string out = close();
  parts_->open = kind;
  Json b = Json::parse(block);
  if (!parts_->stream) return parts_->blocks.push_back(std::move(b)), std::string{};
  return out +
         event("content_block_start",
               {{"type", "content_block_start"}, {"index", parts_->next}, {"content_block", std::move(b)}});
}

std::string AnswerWriter::close() {
  Parts& p = *parts_;
  if (!p.open) return {};
  const std::string_view kind = std::exchange(p.open, nullptr);
  const std::string input = std::exchange(p.input, {});
  if (!p.stream) {
    Json whole = Json::parse(input.empty() ? "{}" : input, nullptr, false);
    if (kind == "use") p.blocks.back()["input"] = whole.is_object() ? std::move(whole) : Json::object();
    return {};
  }
  return event("content_block_stop", {{"type", "content_block_stop"}, {"index", p.next++}});
}

std::string AnswerWriter::text(std::string_view piece) {
  std::string out;
  if (!parts_->open || std::string_view(parts_->open) != "text")
    out = open("text", dump({{"type", "text"}, {"text", ""}}));
  if (piece.empty()) return out;
  if (!parts_->stream) {
    auto& whole = parts_->blocks.back()["text"].get_ref<std::string&>();
    return whole += piece, std::string{};
  }
  return out + event("content_block_delta", {{"type", "content_block_delta"},
                                             {"index", parts_->next},
                                             {"delta", {{"type", "text_delta"}, {"text", piece}}}});
}

std::string AnswerWriter::use(Calls by, std::string_view id, std::string_view name, std::string_view server) {
  Json b{{"type", by == Calls::Client ? "tool_use" : "mcp_tool_use"}, {"id", id}, {"name", name}};
  if (by == Calls::Front) b["server_name"] = server;
  b["input"] = Json::object();
  return open("use", dump(b));
}

std::string AnswerWriter::input(std::string_view piece) {
  if (piece.empty()) return {};
  if (!parts_->stream) return parts_->input += piece, std::string{};
  return event("content_block_delta", {{"type", "content_block_delta"},
                                       {"index", parts_->next},
                                       {"delta", {{"type", "input_json_delta"}, {"partial_json", piece}}}});
}

std::string AnswerWriter::result(std::string_view use_id, std::string_view text, bool error) {
  const Json b{{"type", "mcp_tool_result"},
               {"tool_use_id", use_id},
               {"is_error", error},
               {"content", Json::array({{{"type", "text"}, {"text", text}}})}};
  std::string out = open("result", dump(b));
  return out + close();
}

std::string AnswerWriter::end(StopReason reason, std::string_view stop, const Usage& usage) {
  Parts& p = *parts_;
  std::string out;
  // An answer of no words is an empty text.
  if (p.next == 0 && !p.open && p.blocks.empty()) out = text("");
  out += close();
  if (p.stream)
    return out +
           event("message_delta",
                 {{"type", "message_delta"}, {"delta", stop_of(reason, stop)}, {"usage", usage_of(usage)}}) +
           event("message_stop", {{"type", "message_stop"}});
  Json body{{"id", p.id},
            {"type", "message"},
            {"role", "assistant"},
            {"model", p.model},
            {"content", std::move(p.blocks)}};
  body.update(stop_of(reason, stop));
  body["usage"] = usage_of(usage);
  return dump(body);
}

std::string AnswerWriter::ping() { return event("ping", {{"type", "ping"}}); }
std::string AnswerWriter::error(const ApiError& e) { return event("error", error_json(e)); }

std::string count_body(double tokens) {
  return dump({{"input_tokens", static_cast<std::int64_t>(std::ceil(tokens))}});
}

}  // namespace calicograde::messages
