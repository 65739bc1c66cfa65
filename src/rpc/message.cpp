#include "rpc/message.hpp"

#include <nlohmann/json.hpp>

namespace calicograde::rpc {
namespace {

using Json = nlohmann::ordered_json;
constexpr int most_nested = 64;
constexpr std::size_t most_id = 256;

std::string dump(const Json& j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }

struct TooDeep {};

Json read(std::string_view text) {
  return Json::parse(text, [](int depth, Json::parse_event_t, Json&) {
    if (depth > most_nested) throw TooDeep{};
    return true;
  });
}

Json read_or_none(std::string_view text) {
  try {
    return read(text);
  } catch (const Json::exception&) {
  } catch (const TooDeep&) {}
  return Json(Json::value_t::discarded);
}

const Json* at(const Json& j, std::initializer_list<std::string_view> path) {
  const Json* here = &j;
  for (const auto name : path) {
    if (!here->is_object()) return nullptr;
    const auto it = here->find(std::string(name));
    if (it == here->end()) return nullptr;
    here = &*it;
  }
  return here;
}

bool good_id(const Json& id) {
  return (id.is_string() && id.get_ref<const std::string&>().size() <= most_id) || id.is_number_integer();
}

Message take(const Json& j) {
  if (j.is_array())
    return Wrong{invalid_message, "batches are not part of this revision: send one message", {}};
  if (!j.is_object()) return Wrong{invalid_message, "a message is an object", {}};
  const Json* id = at(j, {"id"});
  std::optional<Id> known;
  if (id && good_id(*id)) known = dump(*id);
  const auto wrong = [&](const char* what) { return Wrong{invalid_message, what, known}; };
  const Json* version = at(j, {"jsonrpc"});
  if (!version || *version != "2.0") return wrong("jsonrpc must be \"2.0\"");
  if (id && !known) return wrong("an id is a string of up to 256 bytes or a whole number");
  const Json* method = at(j, {"method"});
  if (!method) {
    const Json *result = at(j, {"result"}), *error = at(j, {"error"});
    if (!known || (result != nullptr) == (error != nullptr))
      return wrong("neither a method, nor an id with one of result and error");
    if (error && (!error->is_object() || !at(*error, {"code"}) || !at(*error, {"code"})->is_number_integer()))
      return wrong("an error needs a whole number as its code");
    return Response{*known, result ? dump(*result) : "", error ? dump(*error) : ""};
  }
  if (!method->is_string() || method->get_ref<const std::string&>().empty())
    return wrong("a method is a string");
  const Json* params = at(j, {"params"});
  if (params && !params->is_object()) return Wrong{bad_params, "params must be an object", known};
  const std::string text = params ? dump(*params) : "";
  if (!known) return Notification{method->get<std::string>(), text};
  return Request{*known, method->get<std::string>(), text};
}

std::string raw(std::string_view json) { return json.empty() ? "{}" : std::string(json); }

}  // namespace

Message parse(std::string_view text) {
  try {
    return take(read(text));
  } catch (const Json::exception& e) {
    return Wrong{parse_error, "this is no JSON", {}};
  } catch (const TooDeep&) {
    return Wrong{parse_error, "nested deeper than 64 levels", {}};
  }
}

std::string text_of(const Request& r) {
  return "{\"jsonrpc\":\"2.0\",\"id\":" + r.id + ",\"method\":" + dump(r.method) +
         (r.params.empty() ? "" : ",\"params\":" + r.params) + "}";
}
std::string text_of(const Notification& n) {
  return "{\"jsonrpc\":\"2.0\",\"method\":" + dump(n.method) +
         (n.params.empty() ? "" : ",\"params\":" + n.params) + "}";
}
std::string text_of(const Response& r) {
  return "{\"jsonrpc\":\"2.0\",\"id\":" + r.id +
         (r.error.empty() ? ",\"result\":" + raw(r.result) : ",\"error\":" + r.error) + "}";
}
std::string error_text(const std::optional<Id>& id, int code, std::string_view message,
                       std::string_view data) {
  return "{\"jsonrpc\":\"2.0\",\"id\":" + id.value_or("null") +
         ",\"error\":{\"code\":" + std::to_string(code) + ",\"message\":" + dump(message) +
         (data.empty() ? "" : ",\"data\":" + std::string(data)) + "}}";
}

std::optional<std::string> member_text(std::string_view json, std::initializer_list<std::string_view> path) {
  const Json j = read_or_none(json);
  const Json* m = at(j, path);
  return m && m->is_string() ? std::optional(m->get<std::string>()) : std::nullopt;
}

std::optional<std::string> member_json(std::string_view json, std::initializer_list<std::string_view> path) {
  const Json j = read_or_none(json);
  const Json* m = at(j, path);
  return m ? std::optional(dump(*m)) : std::nullopt;
}

std::vector<Tool> tools_of(std::string_view result) {
  const Json j = read_or_none(result);
  const Json* list = at(j, {"tools"});
  std::vector<Tool> out;
  if (!list || !list->is_array()) return out;
  for (const auto& t : *list) {
    const Json* name = at(t, {"name"});
    if (!name || !name->is_string()) continue;
    Tool tool{name->get<std::string>(), "{}", dump(t), {}, {}, {}};
    if (const Json* d = at(t, {"description"}); d && d->is_string()) tool.description = d->get<std::string>();
    if (const Json* schema = at(t, {"inputSchema"})) tool.schema = dump(*schema);
    if (const Json* h = at(t, {"annotations", "idempotentHint"}); h && h->is_boolean())
      tool.idempotent = h->get<bool>();
    if (const Json* h = at(t, {"annotations", "readOnlyHint"}); h && h->is_boolean())
      tool.read_only = h->get<bool>();
    out.push_back(std::move(tool));
  }
  return out;
}

std::string quoted(std::string_view text) { return dump(Json(text)); }

std::string tool_definition(std::string_view name, std::string_view description, std::string_view schema) {
  return dump(Json{{"name", name}, {"description", description}, {"inputSchema", read_or_none(schema)}});
}

std::string text_result(std::string_view text, bool error) {
  Json j{{"content", Json::array({{{"type", "text"}, {"text", text}}})}};
  if (error) j["isError"] = true;
  return dump(j);
}

ToolText text_of_result(std::string_view result) {
  const Json j = read_or_none(result);
  ToolText out;
  const Json* error = at(j, {"isError"});
  out.error = error && error->is_boolean() && error->get<bool>();
  const Json* content = at(j, {"content"});
  if (!content || !content->is_array() || content->empty()) {
    const Json* made = at(j, {"structuredContent"});
    out.text = made ? dump(*made) : "";
    return out;
  }
  for (const auto& block : *content) {
    const Json* text = at(block, {"text"});
    out.text +=
        (out.text.empty() ? "" : "\n") + (text && text->is_string() ? text->get<std::string>() : dump(block));
  }
  return out;
}

std::string with_member(std::string_view json, std::initializer_list<std::string_view> path,
                        std::string_view value) {
  Json j = read_or_none(raw(json));
  Json* here = &j;
  for (const auto name : path) {
    if (!here->is_object()) *here = Json::object();
    here = &(*here)[std::string(name)];
  }
  *here = read_or_none(value);
  return dump(j);
}

}  // namespace calicograde::rpc
