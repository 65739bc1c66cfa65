#include "front/tools_front.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <random>
#include <thread>

#include "front/links.hpp"
#include "net/clock.hpp"
#include "rpc/message.hpp"
#include "rpc/session.hpp"
#include "tools/tool_desk.hpp"

namespace calicograde::front {
namespace {

using http::BodyEnd;
using log::Level;
using net::clock_now;
using tools::CallEnd;
using tools::CallId;

constexpr std::size_t answer_bytes = 4 << 20;  // of one event or body of a tool server
constexpr std::size_t calls_a_session = 64;
constexpr Span connect_time = Span::millis(250), list_time = Span::millis(2000), tick = Span::millis(50);
constexpr Span session_life = Span::millis(30 * 60 * 1000);
const char* const json = "application/json";

// A client's session, shared by the threads of its connections.
struct Client {
  Client(std::string id, std::size_t kept) : session(std::move(id), calls_a_session, kept) {}
  std::mutex mutex;
  std::condition_variable changed;
  rpc::Session session;
  std::string capabilities = "{}", info = "{}";
  std::map<rpc::Id, CallId> calls;
  std::map<std::size_t, std::string> upstream;  // its session at each tool server, once it has one there
  struct Asked {
    std::size_t server = 0;
    std::string upstream;
    rpc::Id id;
  };
  std::map<rpc::Id, Asked> asked_back;  // what servers ask of the client, by this front's id for it
  std::uint64_t next_back = 1;
  Instant used;
  bool over = false;
};

// What the desk wants of the thread that attends a call.
struct Post {
  std::mutex mutex;
  net::Wake wake;
  std::optional<tools::SendCall> send;
  std::optional<tools::FailCall> fail;
  bool stop = false, cancelled = false;
};

class Tools : public Protocol {
 public:
  explicit Tools(Core& core)
      : core_(core),
        settings_(*core.settings().tools),
        desk_(settings_.desk),
        links_(Span::millis(15000), 64) {
    std::random_device chance;
    salt_ = std::uint64_t{chance()} << 32 | chance();
    // What the tools are is asked at once, and then now and again; the desk looks for silence in between.
    lister_ = std::thread([this] { list(); });
    ticker_ = std::thread([this] { ticking(); });
  }
  ~Tools() override {
    {
      const std::lock_guard lock(desk_mutex_);
      stopping_ = true;
    }
    stopped_.notify_all();
    lister_.join(), ticker_.join();
  }

  bool takes(const std::string& path) const override { return path == settings_.path; }
  std::size_t open() const override {
    const std::lock_guard lock(desk_mutex_);
    return posts_.size();
  }

  void refuse(int status, const std::string& what, Visit& visit) override {
    reply(visit, status, rpc::error_text({}, rpc::invalid_message, what), false);
  }

  bool serve(const http::Request& request, Visit& visit) override {
    const std::string origin(http::header(request.headers, "origin"));
    if (!origin.empty() &&
        std::find(settings_.origins.begin(), settings_.origins.end(), origin) == settings_.origins.end())
      return reply(visit, 403,
                   rpc::error_text({}, rpc::invalid_message, "origin " + origin + " is not allowed here"),
                   true);
    const std::string revision(http::header(request.headers, "mcp-protocol-version"));
    const auto& spoken = rpc::revisions();
    if (!revision.empty() && std::find(spoken.begin(), spoken.end(), revision) == spoken.end())
      return reply(
          visit, 400,
          rpc::error_text({}, rpc::invalid_message, "protocol version " + revision + " is not spoken here"),
          true);
    if (request.method == "POST") return post(request, visit);
    if (request.method != "GET" && request.method != "DELETE")
      return reply(visit, 405, rpc::error_text({}, rpc::invalid_message, "only POST, GET and DELETE"), true);
    const auto client = client_of(request, visit);
    if (!client) return true;
    return request.method == "GET" ? listen(*client, request, visit) : end_session(*client, visit);
  }

 private:
  using ClientRef = std::shared_ptr<Client>;

  static bool reply(Visit& visit, int status, const std::string& body, bool keep,
                    const std::string& session = {}) {
    http::Headers h{{"content-type", json}};
    if (!session.empty()) h.emplace_back("mcp-session-id", session);
    return visit.connection.respond(status, h, body, keep) && keep;
  }

  // The session that a request names; none: the client has been told.
  ClientRef client_of(const http::Request& request, Visit& visit) {
    const std::string id(http::header(request.headers, "mcp-session-id"));
    if (id.empty())
      return reply(visit, 400,
                   rpc::error_text({}, rpc::invalid_message, "the header Mcp-Session-Id is missing"), true),
             nullptr;
    const std::lock_guard lock(clients_mutex_);
    const auto it = clients_.find(id);
    if (it == clients_.end())
      return reply(visit, 404, rpc::error_text({}, rpc::invalid_message, "no such session; begin a new one"),
                   true),
             nullptr;
    it->second->used = clock_now();
    return it->second;
  }

  bool post(const http::Request& request, Visit& visit) {
    const Instant arrived = clock_now();
    const auto message = rpc::parse(request.body);
    if (const auto* w = std::get_if<rpc::Wrong>(&message))
      return reply(visit, 400, rpc::error_text(w->id, w->code, w->what), true);
    const auto* r = std::get_if<rpc::Request>(&message);
    if (r && r->method == "initialize") return initialize(*r, visit);
    const auto client = client_of(request, visit);
    if (!client) return true;
    if (const auto* n = std::get_if<rpc::Notification>(&message)) return notified(*client, *n, visit);
    if (const auto* a = std::get_if<rpc::Response>(&message)) return answered_back(*client, *a, visit);
    {
      const std::lock_guard lock(client->mutex);
      switch (client->session.ask(*r)) {
        case rpc::Session::Ask::Go: break;
        case rpc::Session::Ask::NotOpened:
          return reply(visit, 400, rpc::error_text(r->id, rpc::invalid_message, "initialize comes first"),
                       true);
        case rpc::Session::Ask::Again:
          return reply(visit, 400,
                       rpc::error_text(r->id, rpc::invalid_message,
                                       "this id was used before, or the session is open already"),
                       true);
        case rpc::Session::Ask::TooMany:
          return reply(visit, 200, rpc::error_text(r->id, rpc::busy, "too many calls open in this session"),
                       true);
      }
    }
    if (r->method == "tools/call")
      return call(client, *r,
                  http::header(request.headers, "accept").find("text/event-stream") != std::string_view::npos,
                  arrived, visit);
    std::string body;
    if (r->method == "ping") body = rpc::text_of(rpc::Response{r->id, "{}", {}});
    else if (r->method == "tools/list") body = rpc::text_of(rpc::Response{r->id, catalogue(), {}});
    else
      body = rpc::error_text(r->id, rpc::unknown_method,
                             "method " + r->method.substr(0, 100) + " is not served here");
    {
      const std::lock_guard lock(client->mutex);
      client->session.answer(r->id);
    }
    return reply(visit, 200, body, true);
  }

  bool initialize(const rpc::Request& r, Visit& visit) {
    const auto asked = rpc::member_text(r.params, {"protocolVersion"});
    if (!asked)
      return reply(visit, 400, rpc::error_text(r.id, rpc::bad_params, "protocolVersion: a string is wanted"),
                   true);
    std::random_device chance;
    char id[40];
    std::snprintf(id, sizeof id, "%08x%08x%08x%08x", chance(), chance(), chance(), chance());
    auto client = std::make_shared<Client>(id, settings_.kept_bytes);
    client->session.ask(r), client->session.answer(r.id);
    client->capabilities = rpc::member_json(r.params, {"capabilities"}).value_or("{}");
    client->info = rpc::member_json(r.params, {"clientInfo"}).value_or("{}");
    const std::string revision = rpc::agreed_revision(*asked);
    client->session.opened(revision, rpc::member_json(r.params, {"capabilities", "sampling"}).has_value(),
                           rpc::member_json(r.params, {"capabilities", "elicitation"}).has_value());
    client->used = clock_now();
    {
      const std::lock_guard lock(clients_mutex_);
      std::erase_if(clients_, [&](const auto& c) { return clock_now() - c.second->used > session_life; });
      if (clients_.size() >= settings_.sessions)
        return reply(visit, 200, rpc::error_text(r.id, rpc::busy, "too many sessions at this front"), true);
      clients_[id] = client;
    }
    const std::string result =
        "{\"protocolVersion\":\"" + revision +
        R"(","capabilities":{"tools":{"listChanged":false}},"serverInfo":{"name":"calicograde","version":"1"}})";
    return reply(visit, 200, rpc::text_of(rpc::Response{r.id, result, {}}), true, id);
  }

  bool notified(Client& client, const rpc::Notification& n, Visit& visit) {
    if (n.method == "notifications/initialized") {
      const std::lock_guard lock(client.mutex);
      client.session.ready();
    } else if (n.method == "notifications/cancelled") {
      const auto id = rpc::member_json(n.params, {"requestId"});
      std::optional<CallId> call;
      {
        const std::lock_guard lock(client.mutex);
        // A cancel that crosses the result changes nothing.
        if (id && client.session.cancel(*id) && client.calls.contains(*id)) call = client.calls[*id];
      }
      if (call) {
        const std::lock_guard lock(desk_mutex_);
        if (const auto it = posts_.find(*call); it != posts_.end()) {
          const std::lock_guard post(it->second->mutex);
          it->second->cancelled = true, it->second->wake.raise();
        }
        dispatch(desk_.cancelled(clock_now(), *call));
      }
    }
    return visit.connection.respond(202, {}, "", true);
  }

  // The client's answer to what a server asked in the middle of a call goes to that server.
  bool answered_back(Client& client, const rpc::Response& a, Visit& visit) {
    std::optional<Client::Asked> asked;
    {
      const std::lock_guard lock(client.mutex);
      if (const auto it = client.asked_back.find(a.id); it != client.asked_back.end())
        asked = it->second, client.asked_back.erase(it);
    }
    if (!asked)
      return reply(visit, 400, rpc::error_text({}, rpc::invalid_message, "nothing was asked under this id"),
                   true);
    tell(asked->server, asked->upstream, rpc::text_of(rpc::Response{asked->id, a.result, a.error}));
    return visit.connection.respond(202, {}, "", true);
  }

  bool end_session(Client& client, Visit& visit) {
    std::vector<CallId> calls;
    {
      const std::lock_guard lock(client.mutex);
      for (const auto& [id, c] : client.calls) calls.push_back(c);
      client.over = true, client.changed.notify_all();
    }
    {
      const std::lock_guard lock(desk_mutex_);
      for (const CallId c : calls) {
        if (const auto it = posts_.find(c); it != posts_.end()) {
          const std::lock_guard post(it->second->mutex);
          it->second->cancelled = true, it->second->wake.raise();
        }
        dispatch(desk_.cancelled(clock_now(), c));
      }
      desk_.session_over(key_of(client));
    }
    const std::lock_guard lock(clients_mutex_);
    clients_.erase(client.session.id());
    return visit.connection.respond(204, {}, "", true);
  }

  std::uint64_t key_of(const Client& client) const {
    return (std::hash<std::string>{}(client.session.id()) ^ salt_) | 1;
  }

  // ---- streams and their resumption
  // ---------------------------------------------------------------------------
  static std::string event(const std::string& id, const std::string& data) {
    return "id: " + id + "\n" + http::event_text("message", data);
  }

  // GET: the rest of a stream that broke, and on with it while its call runs; without an event id, a stream
  // that stays open for what a server may say of its own accord (nothing, today, but the comments that keep
  // it alive).
  bool listen(Client& client, const http::Request& request, Visit& visit) {
    const std::string last(http::header(request.headers, "last-event-id"));
    std::unique_lock lock(client.mutex);
    auto rest = client.session.after(last);
    if (!last.empty() && !rest)
      return reply(visit, 404,
                   rpc::error_text({}, rpc::invalid_message, "what came after this event is kept no more"),
                   true);
    if (!visit.connection.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
    std::string seen = last;
    for (Instant wrote = clock_now(); !client.over && !core_.aborting();) {
      std::string out;
      bool ended = false;
      if (!last.empty()) {
        rest = client.session.after(seen);
        if (!rest) break;  // it fell too far behind: better an end than a gap
        for (const auto& e : rest->events)
          seen = std::to_string(rest->stream) + "-" + std::to_string(e.number), out += event(seen, e.data);
        ended = rest->ended;
      }
      if (out.empty() && !ended) client.changed.wait_for(lock, std::chrono::milliseconds(100));
      lock.unlock();
      if (out.empty() && clock_now() - wrote > Span::millis(5000)) out = ": alive\n\n";
      if (!out.empty()) wrote = clock_now();
      if (!visit.connection.piece(out) || visit.connection.stream().peer_left()) return false;
      if (ended) return visit.connection.end_stream();
      lock.lock();
    }
    lock.unlock();
    return visit.connection.end_stream();
  }

  // ---- calls
  // -------------------------------------------------------------------------------------------------- One
  // call on its way: the stream that its client is owed, whether or not anybody listens just now.
  struct Way {
    ClientRef client;
    rpc::Request request;
    CallId id = 0;
    std::shared_ptr<Post> post;
    Visit& visit;
    bool streams = false, begun = false, listening = true;
    std::uint64_t stream = 0;
    std::string token;  // the client's progress token, as JSON; empty = none asked for
  };

  bool call(const ClientRef& client, const rpc::Request& r, bool streams, Instant arrived, Visit& visit) {
    const auto name = rpc::member_text(r.params, {"name"});
    const auto finish_early = [&](int code, const std::string& what) {
      const std::lock_guard lock(client->mutex);
      client->session.answer(r.id);
      return reply(visit, 200, rpc::error_text(r.id, code, what), true);
    };
    if (!name || name->empty()) return finish_early(rpc::bad_params, "name: a string is wanted");
    Way way{client,
            r,
            next_call_++,
            std::make_shared<Post>(),
            visit,
            streams,
            false,
            true,
            0,
            rpc::member_json(r.params, {"_meta", "progressToken"}).value_or("")};
    if (!way.post->wake.ok() || core_.aborting())
      return finish_early(rpc::busy, "this front takes no more just now");
    const Span time_out = desk_.rule_of(*name).time_out;
    {
      const std::lock_guard lock(client->mutex);
      client->calls[r.id] = way.id;
      way.stream = client->session.begin_stream();
    }
    {
      const std::lock_guard lock(desk_mutex_);
      posts_[way.id] = way.post;
      dispatch(desk_.called(clock_now(), way.id, *name, key_of(*client), arrived + time_out));
    }
    const bool keep = attend(way, arrived + time_out + Span::millis(1000));
    {
      const std::lock_guard lock(desk_mutex_);
      posts_.erase(way.id);
    }
    const std::lock_guard lock(client->mutex);
    client->calls.erase(r.id);
    client->session.end_stream(way.stream);
    client->changed.notify_all();
    return keep;
  }

  // Does what the desk says until the call has its answer. The client may leave and come back meanwhile.
  bool attend(Way& w, Instant last) {
    for (;;) {
      std::optional<tools::SendCall> send;
      std::optional<tools::FailCall> fail;
      bool cancelled = false;
      {
        const std::lock_guard lock(w.post->mutex);
        send = std::exchange(w.post->send, {}), fail = w.post->fail, cancelled = w.post->cancelled,
        w.post->stop = false;
        w.post->wake.clear();
      }
      if (cancelled) return finish(w, {});
      if (send) {
        if (attempt(w, *send)) return w.listening;
        continue;
      }
      if (fail) return finish(w, words_of(*fail, w.request.id));
      if (clock_now() >= last || core_.aborting()) {
        const std::lock_guard lock(desk_mutex_);
        dispatch(desk_.cancelled(clock_now(), w.id));
        return finish(w, rpc::error_text(w.request.id, rpc::outcome_unknown,
                                         "no answer came; whether the tool ran is unknown"));
      }
      net::wait_for(w.post->wake, -1, std::min(last, clock_now() + Span::millis(500)));
    }
  }

  static std::string words_of(const tools::FailCall& f, const rpc::Id& id) {
    using W = tools::FailCall::Why;
    switch (f.why) {
      case W::UnknownTool: return rpc::error_text(id, rpc::bad_params, "no tool of this name is offered");
      case W::Busy:
        return rpc::error_text(
            id, rpc::busy, "too many calls wait for this tool; trying again is harmless",
            "{\"retryAfterMs\":" + std::to_string(static_cast<long>(f.retry_after.as_millis())) + "}");
      case W::NoServer:
        return rpc::error_text(id, rpc::busy, "no server could take the call; it did not run");
      case W::TimedOut:
        return rpc::error_text(id, rpc::timed_out, "the call could not be made in time; it did not run");
      case W::OutcomeUnknown: break;
    }
    return rpc::error_text(id, rpc::outcome_unknown,
                           "the outcome is unknown: the tool may have run, and the call is not made again");
  }

  // The one response of the call; empty = cancelled, which has none.
  bool finish(Way& w, const std::string& response) {
    bool owed = false;
    {
      const std::lock_guard lock(w.client->mutex);
      owed = w.client->session.answer(w.request.id);
    }
    if (owed && !response.empty()) say(w, response, true);
    if (!w.listening) return false;
    if (w.begun) return w.visit.connection.end_stream();
    if (!owed || response.empty()) return w.visit.connection.respond(202, {}, "", true);
    return true;
  }

  // One message for the client: kept for resumption first, then written if anybody listens.
  void say(Way& w, const std::string& message, bool last) {
    if (!w.streams) {
      if (last && w.listening) w.listening = reply(w.visit, 200, message, true);
      return;
    }
    std::string id;
    {
      const std::lock_guard lock(w.client->mutex);
      id = w.client->session.add(w.stream, message);
      w.client->changed.notify_all();
    }
    if (!w.listening) return;
    if (!w.begun)
      w.listening = w.visit.connection.begin_stream(200, {{"content-type", "text/event-stream"}}),
      w.begun = true;
    w.listening = w.listening && w.visit.connection.piece(event(id, message));
  }

  void ended(CallId id, std::uint32_t send, CallEnd how) {
    const std::lock_guard lock(desk_mutex_);
    dispatch(desk_.ended(clock_now(), id, send, how));
  }

  // One send of a call. True: the client has its answer.
  bool attempt(Way& w, const tools::SendCall& s) {
    CallEnd how = CallEnd::NotReached;
    std::string answer;
    auto link = connect(s.server, s.until);
    if (link) {
      const auto upstream = upstream_of(*w.client, s.server, *link, s.until);
      if (upstream) how = relay(w, s, *upstream, *link, answer);
    }
    if (how == CallEnd::Answered && !link->reusable()) link.reset();
    if (how == CallEnd::Answered && link)
      links_.give_back(settings_.servers[s.server].address, std::move(*link));
    ended(w.id, s.send, how);
    if (how != CallEnd::Answered) {
      core_.log().line(Level::Info, "tool send ended",
                       {{"call", static_cast<std::int64_t>(w.id)},
                        {"send", std::int64_t{s.send}},
                        {"server", settings_.servers[s.server].name},
                        {"reason", word(how)}});
      return false;
    }
    finish(w, answer);
    return true;
  }

  static const char* word(CallEnd e) {
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

  std::optional<http::ClientConnection> connect(std::size_t server, Instant until) {
    const auto& at = settings_.servers[server].address;
    if (auto kept = links_.take(at)) return kept;
    auto [how, stream] = net::Stream::connect(at, std::min(until, clock_now() + connect_time));
    if (how != net::ConnectEnd::Connected) return std::nullopt;
    return http::ClientConnection(std::move(stream));
  }

  http::Headers headers_for(const std::string& upstream, const char* revision) const {
    http::Headers h{{"host", core_.settings().name},
                    {"content-type", json},
                    {"accept", "application/json, text/event-stream"}};
    if (!upstream.empty()) h.emplace_back("mcp-session-id", upstream);
    if (revision) h.emplace_back("mcp-protocol-version", revision);
    return h;
  }

  // Opens a session at a tool server; its id ("" where the server keeps none), or none.
  std::optional<std::string> open_upstream(std::size_t server, http::ClientConnection& link,
                                           const std::string& capabilities, const std::string& info,
                                           Instant until) {
    const std::string& path = settings_.servers[server].path;
    const rpc::Request hello{
        "0", "initialize",
        "{\"protocolVersion\":\"" + rpc::revisions().front() + "\",\"capabilities\":" + capabilities +
            ",\"clientInfo\":" + (info == "{}" ? R"({"name":"calicograde","version":"1"})" : info) + "}"};
    http::Response head;
    std::string body;
    if (!link.ask("POST", path, headers_for("", nullptr), rpc::text_of(hello), until) ||
        link.read_head(head, until) != BodyEnd::Done ||
        link.read_whole(body, until, answer_bytes) != BodyEnd::Done || head.status != 200)
      return std::nullopt;
    const std::string id(http::header(head.headers, "mcp-session-id"));
    http::Response ready;
    std::string nothing;
    if (!link.ask("POST", path, headers_for(id, rpc::revisions().front().c_str()),
                  rpc::text_of(rpc::Notification{"notifications/initialized", {}}), until) ||
        link.read_head(ready, until) != BodyEnd::Done ||
        link.read_whole(nothing, until, answer_bytes) != BodyEnd::Done)
      return std::nullopt;
    return id;
  }

  std::optional<std::string> upstream_of(Client& client, std::size_t server, http::ClientConnection& link,
                                         Instant until) {
    std::string capabilities, info;
    {
      const std::lock_guard lock(client.mutex);
      if (const auto it = client.upstream.find(server); it != client.upstream.end()) return it->second;
      capabilities = client.capabilities, info = client.info;
    }
    const auto id = open_upstream(server, link, capabilities, info, std::min(until, clock_now() + list_time));
    if (!id) return std::nullopt;
    const std::lock_guard lock(client.mutex);
    return client.upstream.emplace(server, *id).first->second;
  }

  // A message to a server beside a call: an answer to what it asked back, or a cancel.
  void tell(std::size_t server, const std::string& upstream, const std::string& message) {
    const Instant until = clock_now() + list_time;
    http::Response head;
    std::string body;
    auto link = connect(server, until);
    if (link &&
        link->ask("POST", settings_.servers[server].path,
                  headers_for(upstream, rpc::revisions().front().c_str()), message, until) &&
        link->read_head(head, until) == BodyEnd::Done &&
        link->read_whole(body, until, answer_bytes) == BodyEnd::Done)
      links_.give_back(settings_.servers[server].address, std::move(*link));
  }

  CallEnd relay(Way& w, const tools::SendCall& s, const std::string& upstream, http::ClientConnection& link,
                std::string& answer) {
    const std::string id = "\"" + std::to_string(w.id) + "." + std::to_string(s.send) + "\"";
    // Its own token: the client's may be used at this server by another client as well.
    const std::string params = w.token.empty()
                                   ? w.request.params
                                   : rpc::with_member(w.request.params, {"_meta", "progressToken"}, id);
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
    link.stream().watch(-1, w.post->wake.fd());
    for (;;) {
      BodyEnd end;
      std::string bytes;
      if (!have_head) end = link.read_head(head, until);
      else end = link.read_body(bytes, until);
      if (end == BodyEnd::Aborted) {
        if (stop_wanted(w)) return cancel_upstream(s.server, upstream, id), CallEnd::Cancelled;
        continue;
      }
      if (end == BodyEnd::TimedOut) return cancel_upstream(s.server, upstream, id), CallEnd::Broken;
      if (end == BodyEnd::Broken) return CallEnd::Broken;
      if (!have_head) {
        have_head = true;
        heard(w.id, s.send);
        if (head.status == 404)
          forget_upstream(*w.client, s.server);  // its session has gone; the call did not begin
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
        if (body_over)
          return passed(w, s, upstream, id, whole, answer) ? CallEnd::Answered : CallEnd::Garbage;
        continue;
      }
      std::vector<http::ServerEvent> got;
      if (!events.feed(bytes, got)) return CallEnd::Garbage;
      for (const auto& e : got) {
        if (e.data.empty()) continue;
        heard(w.id, s.send);
        if (passed(w, s, upstream, id, e.data, answer)) {
          // What comes after the answer is nobody's. The body's end is waited for a moment, so that the link
          // serves again.
          std::string drop;
          if (!body_over)
            link.read_whole(drop, std::min(until, clock_now() + Span::millis(50)), answer_bytes);
          return CallEnd::Answered;
        }
      }
      if (body_over) return CallEnd::Broken;
    }
  }

  bool stop_wanted(Way& w) {
    const std::lock_guard lock(w.post->mutex);
    const bool stop = w.post->stop || w.post->cancelled || w.post->fail || core_.aborting();
    if (!stop) w.post->wake.clear();
    return stop;
  }
  void heard(CallId id, std::uint32_t send) {
    const std::lock_guard lock(desk_mutex_);
    dispatch(desk_.heard(clock_now(), id, send));
  }
  void forget_upstream(Client& client, std::size_t server) {
    const std::lock_guard lock(client.mutex);
    client.upstream.erase(server);
  }
  void cancel_upstream(std::size_t server, const std::string& upstream, const std::string& id) {
    tell(server, upstream,
         rpc::text_of(rpc::Notification{"notifications/cancelled",
                                        "{\"requestId\":" + id + ",\"reason\":\"no longer wanted\"}"}));
  }

  // One message of a server in answer to a call. True: it is the call's response, made over for the client.
  bool passed(Way& w, const tools::SendCall& s, const std::string& upstream, const std::string& id,
              const std::string& text, std::string& answer) {
    const auto message = rpc::parse(text);
    if (const auto* a = std::get_if<rpc::Response>(&message)) {
      if (a->id != id) return false;
      answer = rpc::text_of(rpc::Response{w.request.id, a->result, a->error});
      return true;
    }
    if (const auto* n = std::get_if<rpc::Notification>(&message)) {
      if (n->method == "notifications/progress" && !w.token.empty()) {
        // Under the client's own token again.
        const bool ours = rpc::member_json(n->params, {"progressToken"}) == id;
        const std::string params = ours ? rpc::with_member(n->params, {"progressToken"}, w.token) : n->params;
        say(w, rpc::text_of(rpc::Notification{n->method, params}), false);
      } else if (n->method == "notifications/message") {
        say(w, text, false);
      }
      return false;
    }
    const auto* q = std::get_if<rpc::Request>(&message);
    if (!q) return false;
    // The server asks back. Only what the client offered reaches it; the rest is answered here.
    std::string mine;
    {
      const std::lock_guard lock(w.client->mutex);
      if (w.streams && q->method != "ping" && w.client->session.may_be_asked(q->method) &&
          w.client->asked_back.size() < calls_a_session) {
        mine = "\"back-" + std::to_string(w.client->next_back++) + "\"";
        w.client->asked_back[mine] = {s.server, upstream, q->id};
      }
    }
    if (!mine.empty()) say(w, rpc::text_of(rpc::Request{mine, q->method, q->params}), false);
    else
      tell(s.server, upstream,
           q->method == "ping"
               ? rpc::text_of(rpc::Response{q->id, "{}", {}})
               : rpc::error_text(q->id, rpc::unknown_method, "the client does not offer " + q->method));
    return false;
  }

  // ---- the desk
  // ----------------------------------------------------------------------------------------------- Under
  // desk_mutex_.
  void dispatch(const std::vector<tools::DeskAction>& actions) {
    for (const auto& a : actions) {
      const auto post_of = [&](CallId id) {
        const auto it = posts_.find(id);
        return it == posts_.end() ? nullptr : it->second.get();
      };
      if (const auto* s = std::get_if<tools::SendCall>(&a)) {
        if (Post* p = post_of(s->call)) {
          const std::lock_guard lock(p->mutex);
          p->send = *s, p->wake.raise();
        }
      } else if (const auto* x = std::get_if<tools::StopCall>(&a)) {
        if (Post* p = post_of(x->call)) {
          const std::lock_guard lock(p->mutex);
          p->stop = true, p->wake.raise();
        }
      } else if (const auto* f = std::get_if<tools::FailCall>(&a)) {
        if (Post* p = post_of(f->call)) {
          const std::lock_guard lock(p->mutex);
          p->fail = *f, p->wake.raise();
        }
      } else if (const auto* t = std::get_if<tools::SayOnce>(&a)) {
        core_.log().line(Level::Info, "mode", {{"what", t->text}});
      }
    }
  }

  bool pause(Span span) {
    std::unique_lock lock(desk_mutex_);
    return !stopped_.wait_for(lock,
                              std::chrono::microseconds(static_cast<std::int64_t>(span.as_millis() * 1000)),
                              [&] { return stopping_; });
  }
  void ticking() {
    while (pause(tick)) {
      const std::lock_guard lock(desk_mutex_);
      dispatch(desk_.tick(clock_now()));
    }
  }

  // Asks every server for its tools, page by page.
  void list() {
    do {
      for (std::size_t k = 0; k < settings_.servers.size(); ++k) {
        auto found = ask_tools(k);
        const std::lock_guard lock(desk_mutex_);
        if (found) definitions_[k] = found->second;
        dispatch(desk_.offered(clock_now(), k, found ? std::optional(found->first) : std::nullopt));
      }
    } while (pause(settings_.list_every));
  }

  using Found = std::pair<std::vector<tools::Offer>, std::map<std::string, std::string>>;
  std::optional<Found> ask_tools(std::size_t server) {
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
      if (!link->ask("POST", settings_.servers[server].path,
                     headers_for(listing_[server], rpc::revisions().front().c_str()), rpc::text_of(ask),
                     until) ||
          link->read_head(head, until) != BodyEnd::Done ||
          link->read_whole(body, until, answer_bytes) != BodyEnd::Done || head.status != 200) {
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
      for (const auto& tool : rpc::tools_of(r->result)) {
        out.first.push_back(
            {tool.name, std::hash<std::string>{}(tool.schema), tool.idempotent, tool.read_only});
        out.second[tool.name] = tool.definition;
      }
      cursor = rpc::member_json(r->result, {"nextCursor"}).value_or("");
      if (cursor.empty()) break;
    }
    links_.give_back(settings_.servers[server].address, std::move(*link));
    return out;
  }

  std::string catalogue() {
    const std::lock_guard lock(desk_mutex_);
    std::string out = "{\"tools\":[";
    bool first = true;
    for (const auto& [name, server] : desk_.catalogue()) {
      if (!std::exchange(first, false)) out += ',';
      out += definitions_[server][name];
    }
    return out + "]}";
  }

  Core& core_;
  const settings::Tools& settings_;
  mutable std::mutex desk_mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  tools::ToolDesk desk_;
  std::map<CallId, std::shared_ptr<Post>> posts_;
  std::map<std::size_t, std::map<std::string, std::string>> definitions_;
  Links links_;
  std::map<std::size_t, std::string> listing_;  // the lister's own sessions; its thread's alone
  std::uint64_t list_id_ = 0, salt_ = 0;
  std::atomic<CallId> next_call_ = 1;
  std::mutex clients_mutex_;
  std::map<std::string, ClientRef> clients_;
  std::thread lister_, ticker_;
};

}  // namespace

std::unique_ptr<Protocol> tools_front(Core& core) { return std::make_unique<Tools>(core); }

}  // namespace calicograde::front
