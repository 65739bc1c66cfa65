#include "front/tools_front.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <random>

#include "net/clock.hpp"
#include "rpc/message.hpp"
#include "rpc/session.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;
using tools::CallId;

constexpr std::size_t calls_a_session = 64;
constexpr Span session_life = Span::millis(30 * 60 * 1000);
const char* const json = "application/json";

// A client's session, shared by the threads of its connections.
struct Client {
  Client(std::string id, std::size_t kept, std::uint64_t key, std::string capabilities, std::string info)
      : session(std::move(id), calls_a_session, kept),
        caller(key, std::move(capabilities), std::move(info)) {}
  std::mutex mutex;
  std::condition_variable changed;
  rpc::Session session;
  Caller caller;
  std::map<rpc::Id, CallId> calls;
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

class Tools : public Protocol {
 public:
  Tools(Core& core, std::shared_ptr<ToolCalls> calls)
      : core_(core), calls_(std::move(calls)), settings_(calls_->settings()) {
    std::random_device chance;
    salt_ = std::uint64_t{chance()} << 32 | chance();
  }

  bool takes(const std::string& path) const override { return path == settings_.path; }
  std::size_t open() const override { return in_work_ + calls_->open(); }

  void refuse(int status, const std::string& what, Visit& visit) override {
    reply(visit, status, rpc::error_text({}, rpc::invalid_message, what), false);
  }

  bool serve(http::Request& request, Visit& visit) override {
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
    else if (r->method == "tools/list") body = rpc::text_of(rpc::Response{r->id, calls_->catalogue(), {}});
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
    auto client =
        std::make_shared<Client>(id, settings_.kept_bytes, (std::hash<std::string>{}(id) ^ salt_) | 1,
                                 rpc::member_json(r.params, {"capabilities"}).value_or("{}"),
                                 rpc::member_json(r.params, {"clientInfo"}).value_or("{}"));
    client->session.ask(r), client->session.answer(r.id);
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
      if (call) calls_->cancel(*call);
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
    calls_->tell(asked->server, asked->upstream, rpc::text_of(rpc::Response{asked->id, a.result, a.error}));
    return visit.connection.respond(202, {}, "", true);
  }

  bool end_session(Client& client, Visit& visit) {
    std::vector<CallId> calls;
    {
      const std::lock_guard lock(client.mutex);
      for (const auto& [id, c] : client.calls) calls.push_back(c);
      client.over = true, client.changed.notify_all();
    }
    for (const CallId c : calls) calls_->cancel(c);
    calls_->session_over(client.caller.key());
    const std::lock_guard lock(clients_mutex_);
    clients_.erase(client.session.id());
    return visit.connection.respond(204, {}, "", true);
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
    if (!visit.connection.begin_stream(200, {{"content-type", "text/event-stream"}}, visit.keep_alive))
      return false;
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

  // One call on its way: the stream that its client is owed, whether or not anybody listens just now. The
  // client may leave and come back meanwhile.
  struct Way : ToolCalls::Ear {
    Way(ClientRef c, const rpc::Request& r, Visit& v, bool s)
        : client(std::move(c)),
          request(r),
          visit(v),
          streams(s),
          token(rpc::member_json(r.params, {"_meta", "progressToken"}).value_or("")) {}
    void progress(const std::string& params) override {
      // Under the client's own token again.
      say(rpc::text_of(rpc::Notification{"notifications/progress",
                                         rpc::with_member(params, {"progressToken"}, token)}),
          false);
    }
    void message(const std::string& text) override { say(text, false); }
    bool asked(std::size_t server, const std::string& upstream, const rpc::Request& q) override {
      std::string mine;
      {
        const std::lock_guard lock(client->mutex);
        if (!streams || !client->session.may_be_asked(q.method) ||
            client->asked_back.size() >= calls_a_session)
          return false;
        mine = "\"back-" + std::to_string(client->next_back++) + "\"";
        client->asked_back[mine] = {server, upstream, q.id};
      }
      say(rpc::text_of(rpc::Request{mine, q.method, q.params}), false);
      return true;
    }
    // One message for the client: kept for resumption first, then written if anybody listens.
    void say(const std::string& message, bool last) {
      if (!streams) {
        if (last && listening) listening = reply(visit, 200, message, true);
        return;
      }
      std::string id;
      {
        const std::lock_guard lock(client->mutex);
        id = client->session.add(stream, message);
        client->changed.notify_all();
      }
      if (!listening) return;
      if (!begun)
        listening = visit.connection.begin_stream(200, {{"content-type", "text/event-stream"}}), begun = true;
      listening = listening && visit.connection.piece(event(id, message));
    }

    ClientRef client;
    const rpc::Request& request;
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
    const InWork here(in_work_);
    if (core_.refusing()) return finish_early(rpc::busy, "this front takes no more just now");
    Way way(client, r, visit, streams);
    const ToolCalls::Order order{*name, r.params, !way.token.empty(), arrived + calls_->time_of(*name)};
    const CallId id = calls_->begin(client->caller, order);
    {
      const std::lock_guard lock(client->mutex);
      client->calls[r.id] = id;
      way.stream = client->session.begin_stream();
    }
    const ToolCalls::Done done = calls_->make(id, client->caller, order, way);
    using H = ToolCalls::Done::How;
    const bool keep =
        finish(way, done.how == H::Cancelled ? ""
                    : done.how == H::Failed  ? words_of(done.fail, r.id)
                                             : rpc::text_of(rpc::Response{r.id, done.result, done.error}));
    const std::lock_guard lock(client->mutex);
    client->calls.erase(r.id);
    client->session.end_stream(way.stream);
    client->changed.notify_all();
    return keep;
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
    if (owed && !response.empty()) w.say(response, true);
    if (!w.listening) return false;
    if (w.begun) return w.visit.connection.end_stream();
    if (!owed || response.empty()) return w.visit.connection.respond(202, {}, "", true);
    return true;
  }

  Core& core_;
  const std::shared_ptr<ToolCalls> calls_;
  const settings::Tools& settings_;
  std::atomic<std::size_t> in_work_ = 0;  // calls of clients
  std::uint64_t salt_ = 0;
  std::mutex clients_mutex_;
  std::map<std::string, ClientRef> clients_;
};

}  // namespace

std::unique_ptr<Protocol> tools_front(Core& core, std::shared_ptr<ToolCalls> calls) {
  return std::make_unique<Tools>(core, std::move(calls));
}

}  // namespace calicograde::front
