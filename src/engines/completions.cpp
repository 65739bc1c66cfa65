#include "engines/completions.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace calicograde::engines {
namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json& j) { return j.dump(-1, ' ', false, Json::error_handler_t::replace); }
Json parse(std::string_view text) { return Json::parse(text, nullptr, false); }

const Json* at(const Json& j, const char* name) {
  if (!j.is_object()) return nullptr;
  const auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
double number(const Json& j, const char* name) {
  const Json* v = at(j, name);
  return v && v->is_number() ? v->get<double>() : 0;
}
std::string text(const Json& j, const char* name) {
  const Json* v = at(j, name);
  return v && v->is_string() ? v->get<std::string>() : std::string{};
}

std::optional<Usage> usage_of(const Json& j) {
  const Json* u = at(j, "usage");
  if (!u) return std::nullopt;
  Usage out{number(*u, "prompt_tokens"), 0, number(*u, "completion_tokens")};
  if (const Json* d = at(*u, "prompt_tokens_details")) out.kept_tokens = number(*d, "cached_tokens");
  if (!(out.prompt_tokens >= 0) || !(out.kept_tokens >= 0) || out.prompt_tokens > 1e9 ||
      out.kept_tokens > 1e9)
    return std::nullopt;
  return out;
}

constexpr int most_calls = 128;  // of one answer

// A turn as one or more messages: each result of a tool is a message of its own.
void add_turn(Json& messages, const Turn& t) {
  for (const auto& r : t.results)
    messages.push_back(
        {{"role", "tool"}, {"tool_call_id", r.id}, {"content", r.error ? "Error: " + r.text : r.text}});
  if (!t.assistant && t.text.empty() && !t.results.empty()) return;
  Json m{{"role", t.assistant ? "assistant" : "user"}, {"content", t.text}};
  if (!t.uses.empty()) {
    if (t.text.empty()) m["content"] = nullptr;
    Json calls = Json::array();
    for (const auto& u : t.uses)
      calls.push_back(
          {{"id", u.id}, {"type", "function"}, {"function", {{"name", u.name}, {"arguments", u.input}}}});
    m["tool_calls"] = std::move(calls);
  }
  messages.push_back(std::move(m));
}

void add_tools(Json& j, const Prompt& p) {
  if (p.tools.empty()) return;
  Json tools = Json::array();
  for (const auto& t : p.tools) {
    Json f{{"name", t.name}};
    if (!t.description.empty()) f["description"] = t.description;
    Json schema = parse(t.schema);
    f["parameters"] = schema.is_object() ? std::move(schema) : Json::object();
    tools.push_back({{"type", "function"}, {"function", std::move(f)}});
  }
  j["tools"] = std::move(tools);
  using H = ToolChoice::How;
  switch (p.choice.how) {
    case H::Auto: break;
    case H::Any: j["tool_choice"] = "required"; break;
    case H::None: j["tool_choice"] = "none"; break;
    case H::One: j["tool_choice"] = {{"type", "function"}, {"function", {{"name", p.choice.name}}}}; break;
  }
  if (p.choice.one_at_once) j["parallel_tool_calls"] = false;
}

std::optional<std::vector<CallPiece>> calls_of(const Json& delta) {
  std::vector<CallPiece> out;
  const Json* list = at(delta, "tool_calls");
  if (!list) return out;
  if (!list->is_array()) return std::nullopt;
  for (const auto& c : *list) {
    const double index = number(c, "index");
    if (!c.is_object() || !(index >= 0 && index < most_calls)) return std::nullopt;
    CallPiece piece{static_cast<int>(index), text(c, "id"), {}, {}};
    if (const Json* f = at(c, "function"))
      piece.name = text(*f, "name"), piece.arguments = text(*f, "arguments");
    out.push_back(std::move(piece));
  }
  return out;
}

}  // namespace

std::string ask_body(Leg leg, const std::string& model, const Prompt& p, const std::string& state,
                     const std::string& place) {
  Json messages = Json::array();
  if (!p.system.empty()) messages.push_back({{"role", "system"}, {"content", p.system}});
  for (const auto& t : p.turns) add_turn(messages, t);
  Json j{{"model", model}, {"messages", std::move(messages)}};
  const bool read = leg == Leg::Read;
  j["max_tokens"] = read ? 1 : p.max_tokens;
  j["stream"] = !read;
  if (!read) j["stream_options"] = {{"include_usage", true}};
  if (!p.stops.empty() && !read) j["stop"] = p.stops;
  if (p.temperature) j["temperature"] = *p.temperature;
  if (p.top_p) j["top_p"] = *p.top_p;
  if (p.top_k && *p.top_k > 0) j["top_k"] = *p.top_k;
  add_tools(j, p);
  if (read)
    j["kv_transfer_params"] = {{"do_remote_decode", true},    {"do_remote_prefill", false},
                               {"remote_engine_id", nullptr}, {"remote_block_ids", nullptr},
                               {"remote_host", nullptr},      {"remote_port", nullptr}};
  if (leg == Leg::Write) j["kv_transfer_params"] = parse(state);
  if (!place.empty()) j["calicograde_place"] = place;
  return dump(j);
}

namespace {

void add(std::string& out, std::string_view kind, std::initializer_list<std::string_view> parts) {
  out += kind, out += '\n';
  for (const auto part : parts) out += part, out += '\n';
}

}  // namespace

std::string canonical_text(const Prompt& p) {
  std::string out;
  for (const auto& t : p.tools) {
    const Json schema = parse(t.schema);
    add(out, "tool", {t.name, t.description, dump(schema.is_object() ? schema : Json::object())});
  }
  if (!p.system.empty()) add(out, "system", {p.system});
  for (const auto& t : p.turns) {
    for (const auto& r : t.results) add(out, "result", {r.error ? "Error: " + r.text : r.text});
    if (!t.assistant && t.text.empty() && !t.results.empty()) continue;
    add(out, t.assistant ? "assistant" : "user", {t.text});
    for (const auto& u : t.uses) add(out, "call", {u.name, u.input});
  }
  return out;
}

std::string canonical_text(std::string_view body) {
  const Json j = parse(body);
  std::string out;
  if (const Json* tools = at(j, "tools"); tools && tools->is_array())
    for (const auto& t : *tools)
      if (const Json* f = at(t, "function")) {
        const Json* schema = at(*f, "parameters");
        add(out, "tool", {text(*f, "name"), text(*f, "description"), schema ? dump(*schema) : "{}"});
      }
  const Json* messages = at(j, "messages");
  if (!messages || !messages->is_array()) return out;
  for (const auto& m : *messages) {
    const std::string role = text(m, "role");
    add(out, role == "tool" ? "result" : role, {text(m, "content")});
    if (const Json* calls = at(m, "tool_calls"); calls && calls->is_array())
      for (const auto& c : *calls)
        if (const Json* f = at(c, "function")) add(out, "call", {text(*f, "name"), text(*f, "arguments")});
  }
  return out;
}

namespace {

std::string hex(prefix::BlockName n) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(n));
  return out;
}
std::optional<prefix::Chain> chain_of(const Json& list) {
  if (!list.is_array()) return std::nullopt;
  prefix::Chain out;
  for (const auto& b : list) {
    prefix::BlockName n = 0;
    if (!b.is_string()) return std::nullopt;
    const auto& s = b.get_ref<const std::string&>();
    const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), n, 16);
    if (error != std::errc{} || end != s.data() + s.size() || n == 0) return std::nullopt;
    out.push_back(n);
  }
  return out;
}
Json list_of(const prefix::Chain& chain) {
  Json out = Json::array();
  for (const auto b : chain) out.push_back(hex(b));
  return out;
}

}  // namespace

std::optional<CacheWord> parse_cache(std::string_view data) {
  const Json j = parse(data);
  const Json* n = at(j, "number");
  if (!n || !n->is_number_unsigned()) return std::nullopt;
  if (const Json* chains = at(j, "chains")) {
    CacheWhole out{n->get<std::uint64_t>(), {}};
    if (!chains->is_array()) return std::nullopt;
    for (const auto& c : *chains) {
      auto chain = chain_of(c);
      if (!chain) return std::nullopt;
      out.chains.push_back(std::move(*chain));
    }
    return out;
  }
  using What = prefix::CacheEvent::What;
  prefix::CacheEvent e{n->get<std::uint64_t>(), What::Stored, 0, {}};
  const std::string what = text(j, "what");
  if (what == "cleared") return e.what = What::Cleared, e;
  if (what != "stored" && what != "removed") return std::nullopt;
  e.what = what == "stored" ? What::Stored : What::Removed;
  const Json* blocks = at(j, "blocks");
  auto chain = blocks ? chain_of(*blocks) : std::nullopt;
  if (!chain) return std::nullopt;
  e.blocks = std::move(*chain);
  if (const Json* after = at(j, "after")) {
    const auto one = chain_of(Json::array({*after}));
    if (!one) return std::nullopt;
    e.after = one->front();
  }
  return e;
}

std::string text_of(const CacheWord& word) {
  if (const auto* w = std::get_if<CacheWhole>(&word)) {
    Json chains = Json::array();
    for (const auto& c : w->chains) chains.push_back(list_of(c));
    return dump(Json{{"number", w->number}, {"chains", std::move(chains)}});
  }
  using What = prefix::CacheEvent::What;
  const auto& e = std::get<prefix::CacheEvent>(word);
  Json j{{"number", e.number},
         {"what", e.what == What::Stored    ? "stored"
                  : e.what == What::Removed ? "removed"
                                            : "cleared"}};
  if (e.what != What::Cleared) j["blocks"] = list_of(e.blocks);
  if (e.after != 0) j["after"] = hex(e.after);
  return dump(j);
}

std::optional<ReadAnswer> parse_read(std::string_view body) {
  const Json j = parse(body);
  const Json* state = at(j, "kv_transfer_params");
  const auto usage = usage_of(j);
  if (!state || !state->is_object() || !usage) return std::nullopt;
  const Json* details = at(*at(j, "usage"), "prompt_tokens_details");
  return ReadAnswer{dump(*state), *usage, details && at(*details, "cached_tokens")};
}

std::optional<Chunk> parse_chunk(std::string_view data) {
  Chunk out;
  if (data == "[DONE]") return out.done = true, out;
  const Json j = parse(data);
  if (!j.is_object() || at(j, "error")) return std::nullopt;
  out.usage = usage_of(j);
  const Json* choices = at(j, "choices");
  if (!choices && !out.usage) return std::nullopt;
  if (!choices || !choices->is_array() || choices->empty()) return out;
  const Json& c = choices->front();
  if (const Json* delta = at(c, "delta")) {
    out.text = text(*delta, "content");
    auto calls = calls_of(*delta);
    if (!calls) return std::nullopt;
    out.calls = std::move(*calls);
  }
  out.finish = text(c, "finish_reason");
  out.stop = text(c, "stop_reason");
  return out;
}

CallAssembler::Took CallAssembler::take(const CallPiece& p, const std::string& id_prefix, int& number) {
  if (p.index == index_ && !uses_.empty()) return uses_.back().input += p.arguments, Took::More;
  if (p.index < index_ || p.name.empty()) return Took::Garbage;
  index_ = p.index, ++number;
  uses_.push_back({p.id.empty() ? id_prefix + std::to_string(number) : p.id, p.name, p.arguments});
  return Took::Opened;
}

bool is_object(std::string_view input) { return input.empty() || parse(input).is_object(); }

Judged judge(Leg leg, const SendFacts& f) {
  using C = SendFacts::Connect;
  if (f.not_sent) return {EndedAs::Moot};
  // A send that was called off before one byte was written ran nowhere, yet the module asked for the cancel.
  if (f.cancelled) return {EndedAs::Cancelled};
  if (f.connect == C::Local) return {EndedAs::LocalFailure};
  if (f.connect != C::Connected || (!f.any_written && !f.timed_out)) return {EndedAs::ConnectFailed};
  if (f.timed_out) return {EndedAs::TimedOut};
  if (f.status == 0) return {EndedAs::Reset};
  if (f.status == 200) {
    if (!f.understood) return {EndedAs::Errored};
    if (!f.body_whole || (leg != Leg::Read && !f.finished)) return {EndedAs::Reset};
    return {leg == Leg::Read ? EndedAs::ReadDone : EndedAs::Completed};
  }
  if (f.error_code == "kv_state_gone") return {EndedAs::Full, leg != Leg::Read};
  const bool full =
      f.status == 429 || (f.status == 503 && (f.error_code == "queue_full" || f.error_code == "draining"));
  if (full) return {EndedAs::Full};
  if (f.status == 400 || f.status == 413 || f.status == 422) return {EndedAs::Moot, false, true};
  return {EndedAs::Errored};
}

EngineError parse_error(std::string_view body) {
  const Json j = parse(body);
  const Json* e = at(j, "error");
  const Json& from = e ? *e : j;
  EngineError out{text(from, "code"), text(from, "message")};
  if (out.code.empty()) out.code = text(from, "type");
  if (out.message.size() > 500) out.message.resize(500);
  return out;
}

std::optional<LoadReport> parse_load(std::string_view header) {
  LoadReport out;
  bool any = false;
  while (!header.empty()) {
    const auto space = header.find(' ');
    const std::string_view part = header.substr(0, space);
    header = space == std::string_view::npos ? std::string_view{} : header.substr(space + 1);
    const auto eq = part.find('=');
    if (eq == std::string_view::npos) continue;
    double n = 0;
    const auto value = part.substr(eq + 1);
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (error != std::errc{} || end != value.data() + value.size() || !(n >= 0) || n > 1e12) continue;
    const auto name = part.substr(0, eq);
    any = true;
    if (name == "held") out.inferences_held = n;
    else if (name == "waiting") out.waiting = n;
    else if (name == "memory") out.memory_share = n;
    else if (name == "tokens") out.tokens_waiting = n;
  }
  return any ? std::optional(out) : std::nullopt;
}

std::string text_of(const LoadReport& r) {
  std::string out;
  const auto add = [&](const char* name, const std::optional<double>& v) {
    char part[64];
    if (v) std::snprintf(part, sizeof part, "%s%s=%.4g", out.empty() ? "" : " ", name, *v), out += part;
  };
  add("held", r.inferences_held), add("waiting", r.waiting), add("memory", r.memory_share),
      add("tokens", r.tokens_waiting);
  return out;
}

}  // namespace calicograde::engines
