#include "messages/call.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

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

void take_turns(const Json& list, Call& call) {
  if (!list.is_array() || list.empty()) refuse("messages", "an array with at least one message is wanted");
  for (std::size_t k = 0; k < list.size(); ++k) {
    const std::string at = "messages." + std::to_string(k);
    const Json& m = list[k];
    if (!m.is_object()) refuse(at, "an object is wanted");
    for (const auto& [key, value] : m.items())
      if (key != "role" && key != "content") refuse(at + "." + key, "is not supported here");
    if (!m.contains("role")) refuse(at + ".role", "Field required");
    if (!m.contains("content")) refuse(at + ".content", "Field required");
    const std::string& role = text_at(m["role"], at + ".role");
    if (role != "user" && role != "assistant") refuse(at + ".role", "'user' or 'assistant' is wanted");
    const bool assistant = role == "assistant";
    std::size_t marked = 0;
    std::string text = content(m["content"], at + ".content", k == 0 ? &marked : nullptr);
    if (k == 0 && assistant) refuse(at + ".role", "the first message must be the user's");
    if (k == 0) call.opening += text.substr(0, marked);
    auto& turns = call.prompt.turns;
    if (!turns.empty() && turns.back().assistant == assistant) turns.back().text += "\n" + text;
    else turns.push_back({assistant, std::move(text)});
  }
  if (call.prompt.turns.back().assistant)
    refuse("messages",
           "an answer begun by the client (a last message of the assistant) is not supported here");
}

Call take(const Json& j, bool counting) {
  if (!j.is_object()) refuse("body", "an object is wanted");
  Call call;
  for (const char* needed : {"model", "messages", "max_tokens"})
    if (!j.contains(needed) && !(counting && std::string_view(needed) == "max_tokens"))
      refuse(needed, "Field required");
  if (j.contains("system")) {
    call.prompt.system = content(j["system"], "system", nullptr);
    call.opening = call.prompt.system;
  }
  for (const auto& [key, value] : j.items()) {
    if (key == "model") {
      call.model = text_at(value, key);
      if (call.model.empty() || call.model.size() > 256) refuse(key, "1 to 256 characters are wanted");
    } else if (key == "messages") {
      take_turns(value, call);
    } else if (key == "system") {
      continue;
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
  return call;
}

const char* name_of(StopReason r) {
  switch (r) {
    case StopReason::MaxTokens: return "max_tokens";
    case StopReason::StopSequence: return "stop_sequence";
    case StopReason::Refusal: return "refusal";
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

std::string AnswerWriter::begin(const Usage& usage) const {
  Json u = usage_of(usage);
  const Json message{{"id", id_},
                     {"type", "message"},
                     {"role", "assistant"},
                     {"model", model_},
                     {"content", Json::array()},
                     {"stop_reason", nullptr},
                     {"stop_sequence", nullptr},
                     {"usage", u}};
  return event("message_start", {{"type", "message_start"}, {"message", message}}) +
         event("content_block_start", {{"type", "content_block_start"},
                                       {"index", 0},
                                       {"content_block", {{"type", "text"}, {"text", ""}}}});
}

std::string AnswerWriter::delta(std::string_view text) const {
  return event(
      "content_block_delta",
      {{"type", "content_block_delta"}, {"index", 0}, {"delta", {{"type", "text_delta"}, {"text", text}}}});
}

std::string AnswerWriter::end(StopReason reason, std::string_view stop, const Usage& usage) const {
  return event("content_block_stop", {{"type", "content_block_stop"}, {"index", 0}}) +
         event("message_delta",
               {{"type", "message_delta"}, {"delta", stop_of(reason, stop)}, {"usage", usage_of(usage)}}) +
         event("message_stop", {{"type", "message_stop"}});
}

std::string AnswerWriter::whole(std::string_view text, StopReason reason, std::string_view stop,
                                const Usage& usage) const {
  Json out{{"id", id_},
           {"type", "message"},
           {"role", "assistant"},
           {"model", model_},
           {"content", Json::array({{{"type", "text"}, {"text", text}}})}};
  out.update(stop_of(reason, stop));
  out["usage"] = usage_of(usage);
  return dump(out);
}

std::string AnswerWriter::ping() { return event("ping", {{"type", "ping"}}); }
std::string AnswerWriter::error(const ApiError& e) { return event("error", error_json(e)); }

std::string count_body(double tokens) {
  return dump({{"input_tokens", static_cast<std::int64_t>(std::ceil(tokens))}});
}

}  // namespace calicograde::messages
