#include "front/tool_calls.hpp"

#include <algorithm>

#include "front/answering.hpp"
#include "net/clock.hpp"
#include "rpc/session.hpp"

namespace calicograde::front {

using http::BodyEnd;
using log::Level;
using net::clock_now;
using tools::CallEnd;

namespace {

constexpr std::size_t answer_bytes = 4 << 20;  // of one event or body of a tool server
constexpr Span connect_time = Span::millis(250), list_time = Span::millis(2000),
               tick_every = Span::millis(50);
constexpr Span late_most = Span::millis(1000);  // beyond a call's time, until its thread gives up on the desk
const char* const json = "application/json";
const char* const text_schema =
    R"({"type":"object","properties":{"text":{"type":"string"}},"required":["text"]})";

const char* word(CallEnd e) {
  switch (e) {
    case CallEnd::Answered: return "answered";
    case CallEnd::NotReached: return "not reached";
    case CallEnd::TurnedAway: return "turned away";
    case CallEnd::Broken: return "broken";
    case CallEnd::Garbage: return "garbage";
    case CallEnd::Cancelled: break;
  }
  return "cancelled";
}

}  // namespace

// What the desk wants of the thread that makes a call.
struct ToolCalls::Post {
  mutable std::mutex mutex;
  net::Wake wake;
  std::optional<tools::SendCall> send;
  std::optional<tools::FailCall> fail;
  bool stop = false, cancelled = false;
  Answering* answering = nullptr;  // of a tool that is an inference
};

struct ToolCalls::Way {
  const CallId id;
  Caller& caller;
  const Order& order;
  Ear& ear;
  Post& post;
  Done done;
};

ToolCalls::ToolCalls(Core& core)
    : core_(core), settings_(*core.settings().tools), desk_(settings_.desk), links_(Span::millis(15000), 64) {
  // What the tools are is asked at once, and then now and again; the desk looks for silence in between.
  lister_ = std::thread([this] { list(); });
  ticker_ = std::thread([this] {
    while (pause(tick_every)) {
      const std::lock_guard lock(desk_mutex_);
      dispatch(desk_.tick(clock_now()));
    }
  });
}

ToolCalls::~ToolCalls() {
  {
    const std::lock_guard lock(desk_mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  lister_.join(), ticker_.join();
}

std::size_t ToolCalls::open() const {
  const std::lock_guard lock(desk_mutex_);
  return posts_.size();
}

ToolCalls::PostRef ToolCalls::post_of(CallId id) const {
  const std::lock_guard lock(desk_mutex_);
  const auto it = posts_.find(id);
  return it == posts_.end() ? nullptr : it->second;
}

const settings::TextTool* ToolCalls::text_tool(const std::string& name) const {
  for (const auto& t : settings_.texts)
    if (t.name == name) return &t;
  return nullptr;
}

Span ToolCalls::time_of(const std::string& tool) const {
  if (const auto* t = text_tool(tool)) return core_.settings().routes[t->route].timeout;
  return desk_.rule_of(tool).time_out;
}

ToolCalls::CallId ToolCalls::begin(const Caller& caller, const Order& order) {
  const CallId id = next_call_++;
  const std::lock_guard lock(desk_mutex_);
  posts_[id] = std::make_shared<Post>();
  if (!text_tool(order.tool)) dispatch(desk_.called(clock_now(), id, order.tool, caller.key(), order.ends));
  return id;
}

// Does what the desk says until the call has ended.
ToolCalls::Done ToolCalls::make(CallId id, Caller& caller, const Order& order, Ear& ear) {
  const PostRef post = post_of(id);
  const Instant last = order.ends + late_most;
  Way w{id, caller, order, ear, *post, {}};
  const auto step = [&] {
    std::optional<tools::SendCall> send;
    {
      const std::lock_guard lock(post->mutex);
      post->wake.clear(), post->stop = false;
      if (post->cancelled) return w.done.how = Done::How::Cancelled, true;
      send = std::exchange(post->send, {});
      if (!send && post->fail) {
        w.done.how = Done::How::Failed, w.done.fail = *post->fail;
        w.done.unsure = post->fail->why == tools::FailCall::Why::OutcomeUnknown;
        return true;
      }
    }
    if (send) return attempt(w, *send);
    if (clock_now() >= last || core_.aborting()) {
      const std::lock_guard lock(desk_mutex_);
      dispatch(desk_.cancelled(clock_now(), id));
      w.done.how = Done::How::Failed, w.done.unsure = true;
      w.done.fail = {tools::FailCall::Why::OutcomeUnknown, id, {}};
      return true;
    }
    net::wait_for(post->wake, -1, std::min(last, clock_now() + Span::millis(500)));
    return false;
  };
  if (!post->wake.ok()) {
    // Descriptors have run out: nothing of it was sent yet, or its send is taken back unsent.
    const std::lock_guard lock(desk_mutex_);
    dispatch(desk_.cancelled(clock_now(), id));
    w.done.fail = {tools::FailCall::Why::Busy, id, Span::millis(1000)};
  } else if (const auto* text = text_tool(order.tool)) {
    w.done = infer(*text, order, *post);
  } else {
    while (!step()) {}
  }
  const std::lock_guard lock(desk_mutex_);
  posts_.erase(id);
  return std::move(w.done);
}

void ToolCalls::cancel(CallId id) {
  if (const PostRef post = post_of(id)) {
    const std::lock_guard lock(post->mutex);
    post->cancelled = true, post->wake.raise();
    if (post->answering) post->answering->stop();
  }
  const std::lock_guard lock(desk_mutex_);
  dispatch(desk_.cancelled(clock_now(), id));
}

void ToolCalls::abandon(CallId id) {
  cancel(id);
  const std::lock_guard lock(desk_mutex_);
  posts_.erase(id);
}

void ToolCalls::session_over(std::uint64_t key) {
  const std::lock_guard lock(desk_mutex_);
  desk_.session_over(key);
}

// ---- a tool that is an inference: the module's to place, as any other

ToolCalls::Done ToolCalls::infer(const settings::TextTool& tool, const Order& order, Post& post) {
  class Collect : public Answering::Reader {
   public:
    bool chunk(const engines::Chunk& c, const Usage&) override { return text += c.text, true; }
    std::string text;
  };
  Done out;
  const auto fail = [&](tools::FailCall::Why why, Span retry_after = {}) {
    out.how = Done::How::Failed, out.fail = {why, 0, retry_after};
    return out;
  };
  const auto text = rpc::member_text(order.params, {"arguments", "text"});
  if (!text) {
    out.how = Done::How::Answered;
    out.error = "{\"code\":" + std::to_string(rpc::bad_params) +
                ",\"message\":\"arguments.text: a string is wanted\"}";
    return out;
  }
  const auto& route = core_.settings().routes[tool.route];
  Prompt prompt;
  prompt.system = tool.system, prompt.turns.push_back({false, *text}), prompt.max_tokens = tool.max_tokens;
  Asked asked;
  asked.route = tool.route;
  asked.session = intake::session_key("", prompt);
  asked.shared_text = intake::shared_key(route.model, prompt.system);
  asked.ends = std::min(order.ends, clock_now() + route.timeout);
  core_.set_prompt(asked, std::move(prompt), tool.system.size());
  const Answering::Terms terms{asked.ends, false, false, nullptr};
  Answering answering(core_);
  {
    const std::lock_guard lock(post.mutex);
    if (post.cancelled) return out.how = Done::How::Cancelled, out;
    post.answering = &answering;
  }
  Collect reader;
  const AnswerEnd end = answering.run(std::move(asked), terms, reader);
  {
    const std::lock_guard lock(post.mutex);
    post.answering = nullptr;
  }
  using H = AnswerEnd::How;
  const bool harmless = route.effect == Effect::Retriable;
  out.ran = end.ran;
  switch (end.how) {
    case H::Completed:
      out.how = Done::How::Answered;
      out.result = rpc::text_result(reader.text, false);
      return out;
    case H::Refused:
      out.how = Done::How::Answered, out.result = rpc::text_result(end.message, true);
      return out;
    case H::Shed:
    case H::NotTaken: return fail(tools::FailCall::Why::Busy, end.retry_after);
    case H::Left: return out.how = Done::How::Cancelled, out;
    case H::Late:
    case H::Stopping:
    case H::Broken: break;
  }
  out.unsure = end.ran && !harmless;
  return fail(end.ran ? tools::FailCall::Why::OutcomeUnknown : tools::FailCall::Why::TimedOut);
}

// ---- sends to tool servers

// One send of a call. True: the call has its answer.
bool ToolCalls::attempt(Way& w, const tools::SendCall& s) {
  CallEnd how = CallEnd::NotReached;
  auto link = connect(s.server, s.until);
  if (link)
    if (const auto upstream = upstream_of(w.caller, s.server, *link, s.until))
      how = relay(w, s, *upstream, *link);
  if (how == CallEnd::Answered && link->reusable())
    links_.give_back(settings_.servers[s.server].address, std::move(*link));
  {
    const std::lock_guard lock(desk_mutex_);
    dispatch(desk_.ended(clock_now(), w.id, s.send, how));
  }
  if (how == CallEnd::Answered) return w.done.how = Done::How::Answered, w.done.ran = true;
  core_.log().line(Level::Info, "tool send ended",
                   {{"call", static_cast<std::int64_t>(w.id)},
                    {"send", std::int64_t{s.send}},
                    {"server", settings_.servers[s.server].name},
                    {"reason", word(how)}});
  return false;
}

std::optional<http::ClientConnection> ToolCalls::connect(std::size_t server, Instant until) {
  const auto& at = settings_.servers[server].address;
  if (auto kept = links_.take(at)) return kept;
  auto [how, stream] = net::Stream::connect(at, std::min(until, clock_now() + connect_time));
  if (how != net::ConnectEnd::Connected) return std::nullopt;
  return http::ClientConnection(std::move(stream));
}

http::Headers ToolCalls::headers_for(const std::string& upstream, const char* revision) const {
  http::Headers h{{"host", core_.settings().name},
                  {"content-type", json},
                  {"accept", "application/json, text/event-stream"}};
  if (!upstream.empty()) h.emplace_back("mcp-session-id", upstream);
  if (revision) h.emplace_back("mcp-protocol-version", revision);
  return h;
}

// Opens a session at a tool server; its id ("" where the server keeps none), or none.
std::optional<std::string> ToolCalls::open_upstream(std::size_t server, http::ClientConnection& link,
                                                    const std::string& capabilities, const std::string& info,
                                                    Instant until) {
  const std::string& path = settings_.servers[server].path;
  const rpc::Request hello{
      "0", "initialize",
      "{\"protocolVersion\":\"" + rpc::revisions().front() + "\",\"capabilities\":" + capabilities +
          ",\"clientInfo\":" + (info == "{}" ? R"({"name":"calicograde","version":"1"})" : info) + "}"};
  http::Response head;
  std::string body;
  if (!link.exchange("POST", path, headers_for("", nullptr), rpc::text_of(hello), head, body, until,
                     answer_bytes) ||
      head.status != 200)
    return std::nullopt;
  const std::string id(http::header(head.headers, "mcp-session-id"));
  http::Response ready;
  std::string nothing;
  if (!link.exchange("POST", path, headers_for(id, rpc::revisions().front().c_str()),
                     rpc::text_of(rpc::Notification{"notifications/initialized", {}}), ready, nothing, until,
                     answer_bytes))
    return std::nullopt;
  return id;
}

std::optional<std::string> ToolCalls::upstream_of(Caller& caller, std::size_t server,
                                                  http::ClientConnection& link, Instant until) {
  {
    const std::lock_guard lock(caller.mutex_);
    if (const auto it = caller.upstream_.find(server); it != caller.upstream_.end()) return it->second;
  }
  const auto id = open_upstream(server, link, caller.capabilities_, caller.info_,
                                std::min(until, clock_now() + list_time));
  if (!id) return std::nullopt;
  const std::lock_guard lock(caller.mutex_);
  return caller.upstream_.emplace(server, *id).first->second;
}

void ToolCalls::tell(std::size_t server, const std::string& upstream, const std::string& message) {
  const Instant until = clock_now() + list_time;
  http::Response head;
  std::string body;
  auto link = connect(server, until);
  if (link && link->exchange("POST", settings_.servers[server].path,
                             headers_for(upstream, rpc::revisions().front().c_str()), message, head, body,
                             until, answer_bytes))
    links_.give_back(settings_.servers[server].address, std::move(*link));
}

CallEnd ToolCalls::relay(Way& w, const tools::SendCall& s, const std::string& upstream,
                         http::ClientConnection& link) {
  const std::string id = "\"" + std::to_string(w.id) + "." + std::to_string(s.send) + "\"";
  // Its own token: the client's may be used at this server by another client as well.
  const std::string params =
      w.order.progress ? rpc::with_member(w.order.params, {"_meta", "progressToken"}, id) : w.order.params;
  const auto before = link.stream().bytes_written();
  const Instant until = s.until;
  if (!link.ask("POST", settings_.servers[s.server].path,
                headers_for(upstream, rpc::revisions().front().c_str()),
                rpc::text_of(rpc::Request{id, "tools/call", params}), until))
    return link.stream().bytes_written() > before ? CallEnd::Broken : CallEnd::NotReached;
  http::Response head;
  http::EventReader events(answer_bytes);
  bool have_head = false, body_over = false, is_stream = false;
  std::string whole;
  link.stream().watch(-1, w.post.wake.fd());
  for (;;) {
    BodyEnd end;
    std::string bytes;
    if (!have_head) end = link.read_head(head, until);
    else end = link.read_body(bytes, until);
    if (end == BodyEnd::Aborted) {
      if (stop_wanted(w.post)) return cancel_upstream(s.server, upstream, id), CallEnd::Cancelled;
      continue;
    }
    if (end == BodyEnd::TimedOut) return cancel_upstream(s.server, upstream, id), CallEnd::Broken;
    if (end == BodyEnd::Broken) return CallEnd::Broken;
    if (!have_head) {
      have_head = true;
      heard(w.id, s.send);
      if (head.status == 404) {
        // Its session has gone; the call did not begin.
        const std::lock_guard lock(w.caller.mutex_);
        w.caller.upstream_.erase(s.server);
      }
      if (head.status == 404 || head.status == 429 || head.status == 503) return CallEnd::TurnedAway;
      if (head.status != 200) return CallEnd::Garbage;
      is_stream =
          http::header(head.headers, "content-type").find("text/event-stream") != std::string_view::npos;
      continue;
    }
    body_over = end == BodyEnd::Done;
    if (!is_stream) {
      whole += bytes;
      if (whole.size() > answer_bytes) return CallEnd::Garbage;
      if (body_over) return passed(w, s, upstream, id, whole) ? CallEnd::Answered : CallEnd::Garbage;
      continue;
    }
    std::vector<http::ServerEvent> got;
    if (!events.feed(bytes, got)) return CallEnd::Garbage;
    for (const auto& e : got) {
      if (e.data.empty()) continue;
      heard(w.id, s.send);
      if (passed(w, s, upstream, id, e.data)) {
        // What comes after the answer is nobody's. The body's end is waited for a moment, so that the link
        // serves again.
        std::string drop;
        if (!body_over) link.read_whole(drop, std::min(until, clock_now() + Span::millis(50)), answer_bytes);
        return CallEnd::Answered;
      }
    }
    if (body_over) return CallEnd::Broken;
  }
}

bool ToolCalls::stop_wanted(const Post& post) const {
  const std::lock_guard lock(post.mutex);
  const bool stop = post.stop || post.cancelled || post.fail || core_.aborting();
  if (!stop) post.wake.clear();
  return stop;
}

void ToolCalls::heard(CallId id, std::uint32_t send) {
  const std::lock_guard lock(desk_mutex_);
  dispatch(desk_.heard(clock_now(), id, send));
}

void ToolCalls::cancel_upstream(std::size_t server, const std::string& upstream, const std::string& id) {
  tell(server, upstream,
       rpc::text_of(rpc::Notification{"notifications/cancelled",
                                      "{\"requestId\":" + id + ",\"reason\":\"no longer wanted\"}"}));
}

// One message of a server in answer to a call. True: it is the call's response.
bool ToolCalls::passed(Way& w, const tools::SendCall& s, const std::string& upstream, const std::string& id,
                       const std::string& text) {
  const auto message = rpc::parse(text);
  if (const auto* a = std::get_if<rpc::Response>(&message)) {
    if (a->id != id) return false;
    w.done.result = a->result, w.done.error = a->error;
    return true;
  }
  if (const auto* n = std::get_if<rpc::Notification>(&message)) {
    if (n->method == "notifications/progress" && w.order.progress &&
        rpc::member_json(n->params, {"progressToken"}) == id)
      w.ear.progress(n->params);
    else if (n->method == "notifications/message") w.ear.message(text);
    return false;
  }
  const auto* q = std::get_if<rpc::Request>(&message);
  // The server asks back. Only what the caller offers reaches it; the rest is answered here.
  if (!q || (q->method != "ping" && w.ear.asked(s.server, upstream, *q))) return false;
  tell(s.server, upstream,
       q->method == "ping"
           ? rpc::text_of(rpc::Response{q->id, "{}", {}})
           : rpc::error_text(q->id, rpc::unknown_method, "the client does not offer " + q->method));
  return false;
}

// ---- the desk

// Under desk_mutex_.
void ToolCalls::dispatch(const std::vector<tools::DeskAction>& actions) {
  for (const auto& a : actions) {
    const auto tell_post = [&](CallId id, const auto& change) {
      const auto it = posts_.find(id);
      if (it == posts_.end()) return;
      const std::lock_guard lock(it->second->mutex);
      change(*it->second), it->second->wake.raise();
    };
    if (const auto* s = std::get_if<tools::SendCall>(&a)) tell_post(s->call, [&](Post& p) { p.send = *s; });
    else if (const auto* x = std::get_if<tools::StopCall>(&a))
      tell_post(x->call, [](Post& p) { p.stop = true; });
    else if (const auto* f = std::get_if<tools::FailCall>(&a))
      tell_post(f->call, [&](Post& p) { p.fail = *f; });
    else if (const auto* t = std::get_if<tools::SayOnce>(&a))
      core_.log().line(Level::Info, "mode", {{"what", t->text}});
  }
}

bool ToolCalls::pause(Span span) {
  std::unique_lock lock(desk_mutex_);
  return !stopped_.wait_for(lock,
                            std::chrono::microseconds(static_cast<std::int64_t>(span.as_millis() * 1000)),
                            [&] { return stopping_; });
}

// Asks every server for its tools, page by page.
void ToolCalls::list() {
  do {
    for (std::size_t k = 0; k < settings_.servers.size(); ++k) {
      auto found = ask_tools(k);
      const std::lock_guard lock(desk_mutex_);
      if (found) definitions_[k] = std::move(found->second);
      dispatch(desk_.offered(clock_now(), k, found ? std::optional(found->first) : std::nullopt));
    }
  } while (pause(settings_.list_every));
}

std::optional<ToolCalls::Found> ToolCalls::ask_tools(std::size_t server) {
  const Instant until = clock_now() + list_time;
  auto link = connect(server, until);
  if (!link) return std::nullopt;
  if (!listing_.contains(server)) {
    const auto id = open_upstream(server, *link, "{}", "{}", until);
    if (!id) return std::nullopt;
    listing_[server] = *id;
  }
  Found out;
  std::string cursor;
  for (int page = 0; page < 100; ++page) {
    http::Response head;
    std::string body;
    const rpc::Request ask{std::to_string(++list_id_), "tools/list",
                           cursor.empty() ? "{}" : "{\"cursor\":" + cursor + "}"};
    if (!link->exchange("POST", settings_.servers[server].path,
                        headers_for(listing_[server], rpc::revisions().front().c_str()), rpc::text_of(ask),
                        head, body, until, answer_bytes) ||
        head.status != 200) {
      listing_.erase(server);  // a session that has gone is opened anew the next time
      return std::nullopt;
    }
    std::vector<http::ServerEvent> events;
    http::EventReader reader(answer_bytes);
    if (http::header(head.headers, "content-type").find("text/event-stream") != std::string_view::npos &&
        reader.feed(body, events) && !events.empty())
      body = events.back().data;
    const auto message = rpc::parse(body);
    const auto* r = std::get_if<rpc::Response>(&message);
    if (!r || r->result.empty()) return std::nullopt;
    for (auto& tool : rpc::tools_of(r->result)) {
      if (text_tool(tool.name)) continue;  // the settings' own tool of that name stands before it
      out.first.push_back(
          {tool.name, std::hash<std::string>{}(tool.schema), tool.idempotent, tool.read_only});
      out.second[tool.name] = std::move(tool);
    }
    cursor = rpc::member_json(r->result, {"nextCursor"}).value_or("");
    if (cursor.empty()) break;
  }
  links_.give_back(settings_.servers[server].address, std::move(*link));
  return out;
}

std::string ToolCalls::catalogue() const {
  std::string out = "{\"tools\":[";
  const char* comma = "";
  for (const auto& t : settings_.texts) {
    out += std::exchange(comma, ",");
    out += rpc::tool_definition(t.name, t.description, text_schema);
  }
  const std::lock_guard lock(desk_mutex_);
  for (const auto& [name, server] : desk_.catalogue()) {
    out += std::exchange(comma, ",");
    out += definitions_.at(server).at(name).definition;
  }
  return out + "]}";
}

std::vector<ToolCalls::Offered> ToolCalls::offered() const {
  std::vector<Offered> out;
  for (const auto& t : settings_.texts)
    out.push_back({{t.name, t.description, text_schema},
                   core_.settings().name,
                   core_.settings().routes[t.route].effect});
  const std::lock_guard lock(desk_mutex_);
  for (const auto& [name, server] : desk_.catalogue()) {
    const auto& d = definitions_.at(server).at(name);
    // The most careful of the servers that may take it.
    Effect effect = desk_.rule_of(name).effect;
    for (std::size_t k = 0; k < settings_.servers.size(); ++k)
      effect = std::max(effect, desk_.effect_of(name, k));
    out.push_back({{name, d.description, d.schema}, settings_.servers[server].name, effect});
  }
  std::sort(out.begin(), out.end(),
            [](const Offered& a, const Offered& b) { return a.tool.name < b.tool.name; });
  return out;
}

}  // namespace calicograde::front
