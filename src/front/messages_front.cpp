#include "front/messages_front.hpp"

#include <cmath>

#include "core/pattern.hpp"
#include "front/answering.hpp"
#include "front/callers.hpp"
#include "front/workers.hpp"
#include "net/clock.hpp"
#include "rounds/rounds.hpp"

namespace calicograde::front {
namespace {

using log::Level;
using messages::ApiError;
using messages::StopReason;
using net::clock_now;
using rounds::Ran;
using rounds::Rounds;

const char* const json = "application/json";
constexpr std::size_t callers_kept = 4096;
constexpr std::size_t calls_at_once = 512, calls_waiting = 4096;  // of all messages; each has its own bounds

StopReason reason_of(const engines::Chunk& last) {
  if (last.finish == "length") return StopReason::MaxTokens;
  if (last.finish == "content_filter") return StopReason::Refusal;
  return last.stop.empty() ? StopReason::EndTurn : StopReason::StopSequence;
}

// Calls that run beside the thread of their message, and what came of them.
struct CallBox {
  struct Ended {
    std::size_t use = 0;
    Ran ran = Ran::Unknown;
    rounds::Result result;
  };
  void put(Ended e) {
    const std::lock_guard lock(mutex);
    ended.push_back(std::move(e));
    wake.raise();
  }
  std::vector<Ended> take() {
    const std::lock_guard lock(mutex);
    wake.clear();
    return std::exchange(ended, {});
  }
  std::mutex mutex;
  net::Wake wake;
  std::vector<Ended> ended;
};

// One message, from its call to its last word.
struct Message {
  Message(Visit& v, messages::Call& c, const settings::Route& r, std::string id)
      : visit(v), call(c), route(r), writer(std::move(id), c.model, c.stream) {}
  Visit& visit;
  messages::Call& call;
  const settings::Route& route;
  messages::AnswerWriter writer;
  Asked base;  // of each of its inferences, but for the prompt and what is worked out from it
  std::map<std::string, std::string> servers;  // of the tools that the front calls
  std::optional<Rounds> rounds;
  std::shared_ptr<Caller> caller;
  bool begun = false;  // something of the stream is written
  Usage usage;         // of all rounds
  bool ran = false;
  Instant first_run;
  InfId inf = 0;
  int uses = 0;
  engines::Chunk last;
  const char* outcome = "left";
  Instant arrived;
  Span first_token;  // zero until it came
};

// One answer of the model, written to the client as it comes.
class RoundReader : public Answering::Reader {
 public:
  explicit RoundReader(Message& m) : m_(m) {}

  bool chunk(const engines::Chunk& c, const Usage& usage) override {
    m_.rounds->answer_began(clock_now());
    if (m_.first_token == Span{}) m_.first_token = clock_now() - m_.arrived;
    std::string out = begin(usage);
    if (!c.text.empty()) text += c.text, out += m_.writer.text(c.text);
    for (const auto& piece : c.calls) {
      const auto took = calls.take(piece, "toolu_" + m_.visit.request_id.substr(4) + "_", m_.uses);
      if (took == engines::CallAssembler::Took::Garbage) return garbage = true, false;
      const ToolUse& u = calls.uses().back();
      if (took == engines::CallAssembler::Took::Opened) {
        const bool client = m_.rounds->whose(u.name) == Rounds::Whose::Client;
        out += m_.writer.use(client ? messages::Calls::Client : messages::Calls::Front, u.id, u.name,
                             m_.servers[u.name]);
      }
      out += m_.writer.input(piece.arguments);
    }
    return write(out);
  }
  bool quiet() override { return !m_.begun || write(messages::AnswerWriter::ping()); }

  std::string text;
  engines::CallAssembler calls;
  bool garbage = false;

 private:
  std::string begin(const Usage& usage) {
    if (m_.begun || !m_.call.stream) return {};
    m_.begun = true;
    if (!m_.visit.connection.begin_stream(
            200, {{"content-type", "text/event-stream; charset=utf-8"}, {"request-id", m_.visit.request_id}},
            m_.visit.keep_alive))
      gone_ = true;
    return m_.writer.begin(usage);
  }
  bool write(const std::string& out) {
    return !gone_ && (out.empty() || !m_.call.stream || m_.visit.connection.piece(out));
  }

  Message& m_;
  bool gone_ = false;
};

class Messages : public Protocol {
 public:
  Messages(Core& core, std::shared_ptr<ToolCalls> calls)
      : core_(core),
        calls_(std::move(calls)),
        callers_(callers_kept),
        workers_(calls_at_once, core.settings().stack, calls_waiting) {}
  ~Messages() override {
    workers_.wait_idle();  // calls still out hold on to this
  }

  bool takes(const std::string& path) const override {
    return path == "/v1/messages" || path == "/v1/messages/count_tokens";
  }

  void refuse(int status, const std::string& what, Visit& visit) override {
    ApiError e = messages::invalid(what);
    if (status == 404) e = messages::not_found(what);
    if (status == 413) e = messages::too_large(what);
    if (status == 529) e = messages::overloaded(what);
    e.status = status;
    answer(e, visit, Span{}, false);
  }

  std::size_t open() const override { return in_work_; }

  bool serve(http::Request& request, Visit& visit) override {
    const Instant arrived = clock_now();
    if (request.method != "POST") {
      refuse(405, "only POST is served here", visit);
      return false;
    }
    const bool counting = request.target.find("/count_tokens") != std::string::npos;
    auto parsed = messages::parse_call(request.body, counting);
    if (const auto* e = std::get_if<ApiError>(&parsed)) return answer(*e, visit, Span{}, true);
    auto& call = std::get<messages::Call>(parsed);
    const auto route = route_of(call.model, request, visit);
    if (!route) return answer(messages::not_found("model: " + call.model), visit, Span{}, true);
    if (counting)
      return visit.connection.respond(
          200, headers(visit),
          messages::count_body(core_.estimate_tokens(*route, intake::bytes_of(call.prompt))), true);
    return infer(request, call, *route, arrived, visit);
  }

 private:
  static ApiError not_taken(Core::Opened::Why why) {
    using Why = Core::Opened::Why;
    if (why == Why::Full) return messages::overloaded("this front takes no more just now");
    ApiError e = messages::invalid("idempotency-key: an inference of this key is in work");
    e.status = 409;
    if (why == Why::KeyUnsure)
      e.message = "idempotency-key: an inference of this key may have run, and its outcome is unknown";
    if (why == Why::KeyExpired)
      e.message =
          "idempotency-key: an inference of this key may have run, too long ago for a repeat to be dropped";
    return e;
  }

  // The first that fits the model, and whose conditions hold.
  std::optional<std::size_t> route_of(const std::string& model, const http::Request& request,
                                      const Visit& visit) const {
    const auto& routes = core_.settings().routes;
    const net::Stream& stream = visit.connection.stream();
    std::string source;
    for (std::size_t k = 0; k < routes.size(); ++k) {
      if (!fits(routes[k].model, model)) continue;
      if (routes[k].when.empty()) return k;
      if (source.empty()) source = stream.peer();
      const std::string_view path = std::string_view(request.target).substr(0, request.target.find('?'));
      if (matching::all_hold(routes[k].when,
                             {request.method, path, source, &request.headers, stream.local_port()}))
        return k;
    }
    return std::nullopt;
  }

  static http::Headers headers(const Visit& visit) {
    return {{"content-type", json}, {"request-id", visit.request_id}};
  }

  bool answer(const ApiError& e, Visit& visit, Span retry_after, bool keep) {
    auto h = headers(visit);
    // The header counts whole seconds; its finer twin is in milliseconds.
    if (e.status == 529) {
      h.emplace_back("retry-after",
                     std::to_string(static_cast<long>(std::ceil(std::max(retry_after.seconds(), 0.0)))));
      h.emplace_back("retry-after-ms", std::to_string(static_cast<long>(retry_after.as_millis())));
    }
    return visit.connection.respond(e.status, h, messages::body_of(e, visit.request_id), keep) && keep;
  }

  bool infer(const http::Request& request, messages::Call& call, std::size_t route, Instant arrived,
             Visit& visit) {
    const auto& settings = core_.settings();
    const auto& r = settings.routes[route];
    const auto refused = [&](const std::string& what) {
      return answer(messages::invalid(what), visit, Span{}, true);
    };
    if (r.max_tokens > 0 && call.prompt.max_tokens > r.max_tokens)
      return refused("max_tokens: " + std::to_string(call.prompt.max_tokens) + " > " +
                     std::to_string(static_cast<long>(r.max_tokens)) + ", which is the maximum for " +
                     call.model);
    // Counted before it is asked whether the front takes new work: a drain that saw none sees this one.
    const InWork here(in_work_);
    if (core_.refusing()) return answer(not_taken(Core::Opened::Why::Full), visit, Span{}, true);
    Message m(visit, call, r, "msg_" + visit.request_id.substr(4));
    m.arrived = arrived;
    std::vector<rounds::Tool> tools;
    std::set<std::string> clients;
    for (const auto& t : call.prompt.tools) clients.insert(t.name);
    offer_tools(m, clients, tools);
    const double tokens = core_.estimate_tokens(route, intake::bytes_of(call.prompt));
    const auto budget = intake::budget({r.timeout, r.timeout_per_1000_tokens}, tokens,
                                       http::header(request.headers, settings.budget_header));
    if (!budget)
      return refused(settings.budget_header + ": a time in milliseconds, or with ms or s, is wanted");
    m.base.route = route;
    m.base.dedupe_key = http::header(request.headers, "idempotency-key");
    if (r.effect == Effect::Deduped && (m.base.dedupe_key.empty() || m.base.dedupe_key.size() > 256))
      return refused("idempotency-key: a header of 1 to 256 characters is required for " + call.model);
    m.base.session = intake::session_key(call.user_id, call.prompt);
    m.base.shared_text = intake::shared_key(call.model, call.opening);
    const auto key = http::header(request.headers, "x-api-key");
    m.base.customer =
        intake::customer_key(key.empty() ? http::header(request.headers, "authorization") : key);
    m.caller = callers_.of(m.base.session | 1);
    m.rounds.emplace(r.relay, std::move(tools), std::move(clients), arrived, *budget, call.stream,
                     call.prompt.max_tokens);
    const bool keep = rounds_of(m);
    if (r.effect == Effect::Deduped && m.inf != 0)
      core_.key_over(r.name, m.base.dedupe_key, m.ran, m.first_run, m.rounds->unsure());
    core_.figures().ended(r.name, m.outcome, m.first_token, clock_now() - arrived);
    core_.log().line(Level::Info, "inference",
                     {{"inference", std::int64_t{m.inf}},
                      {"request_id", visit.request_id},
                      {"route", r.name},
                      {"outcome", m.outcome},
                      {"ms", (clock_now() - arrived).as_millis()},
                      {"prompt_tokens", tokens},
                      {"rounds", std::int64_t{m.rounds->round()}},
                      {"calls", static_cast<std::int64_t>(m.rounds->calls_made())}});
    return keep;
  }

  // What the route's settings relay is offered to the model beside what the client offers, first and always
  // in the same order: all clients share that part of the prompt.
  void offer_tools(Message& m, const std::set<std::string>& clients, std::vector<rounds::Tool>& tools) {
    if (!calls_ || m.route.relay.tools.empty()) return;
    std::vector<ToolOffer> offers;
    std::string opening;
    for (auto& o : calls_->offered()) {
      if (clients.contains(o.tool.name) || !rounds::calls(m.route.relay, o.tool.name)) continue;
      tools.push_back({o.tool.name, o.effect});
      m.servers[o.tool.name] = o.server;
      opening += o.tool.name + o.tool.description + o.tool.schema;
      offers.push_back(std::move(o.tool));
    }
    auto& all = m.call.prompt.tools;
    all.insert(all.begin(), std::make_move_iterator(offers.begin()), std::make_move_iterator(offers.end()));
    m.call.opening = opening + m.call.opening;
  }

  Asked next_inference(Message& m, int round) {
    Asked a = m.base;
    core_.set_prompt(a, m.call.prompt, m.call.opening.size());
    a.ends = m.rounds->ends();
    // A later round is another inference to the engines, but the client's key is the message's.
    a.key_taken = a.goes_on = round > 0;
    if (round > 0 && !a.dedupe_key.empty()) a.dedupe_key += "~" + std::to_string(round + 1);
    return a;
  }

  bool rounds_of(Message& m) {
    for (int round = 0;; ++round) {
      Answering answering(core_);
      const Answering::Terms terms{m.rounds->ends(), m.call.stream, m.begun, &m.visit.connection};
      RoundReader reader(m);
      AnswerEnd end = answering.run(next_inference(m, round), terms, reader);
      if (end.how == AnswerEnd::How::Left && reader.garbage)
        end.how = AnswerEnd::How::Broken, end.message = "the engine's answer can't be read";
      if (m.inf == 0) m.inf = end.inf;
      if (end.ran && !m.ran) m.ran = true, m.first_run = end.first_run;
      if (end.how != AnswerEnd::How::Completed) return failed(m, end);
      m.usage.prompt_tokens += end.usage.prompt_tokens, m.usage.kept_tokens += end.usage.kept_tokens,
          m.usage.answer_tokens += end.usage.answer_tokens;
      m.last = std::move(end.last);
      const bool cut = m.last.finish == "length";
      std::vector<rounds::Use> uses;
      for (const auto& u : reader.calls.uses())
        uses.push_back({u.id, u.name, u.input, engines::is_object(u.input)});
      auto steps = m.rounds->answer_ended(clock_now(), std::move(uses), cut, end.usage.answer_tokens);
      const auto next = carry_out(m, std::move(steps));
      if (const auto* over = std::get_if<bool>(&next)) return *over;
      add_turns(m, std::move(reader.text));
      m.call.prompt.max_tokens = std::get<rounds::NextRound>(next).max_tokens;
      // What was forced has been done once; forced again it would go on without end.
      using H = ToolChoice::How;
      auto& choice = m.call.prompt.choice;
      if (choice.how == H::Any || choice.how == H::One) choice.how = H::Auto;
    }
  }

  // The round that ended, as the model will see it.
  static void add_turns(Message& m, std::string text) {
    Turn said{true, std::move(text), {}, {}}, told{false, {}, {}, {}};
    for (auto& s : m.rounds->settled()) {
      said.uses.push_back({s.use.id, s.use.name, s.use.object ? s.use.input : "{}"});
      if (s.result) told.results.push_back({s.use.id, s.result->text, s.result->error});
    }
    m.call.prompt.turns.push_back(std::move(said));
    m.call.prompt.turns.push_back(std::move(told));
  }

  // Does what the rounds say until another answer is wanted, or the message is over: then whether the
  // connection may be kept.
  std::variant<bool, rounds::NextRound> carry_out(Message& m, std::vector<rounds::Step> steps) {
    std::shared_ptr<CallBox> box;
    std::map<std::size_t, ToolCalls::CallId> out;
    const int client = m.visit.connection.stream().fd();
    Instant wrote = clock_now();
    for (bool left = false;;) {
      for (const auto& step : steps) {
        if (const auto* c = std::get_if<rounds::MakeCall>(&step)) {
          if (!box) box = std::make_shared<CallBox>();
          start_call(m, *c, box, out);
        } else if (const auto* d = std::get_if<rounds::DropCall>(&step)) {
          if (const auto it = out.find(d->use); it != out.end()) calls_->cancel(it->second);
        } else if (const auto* s = std::get_if<rounds::ShowResult>(&step)) {
          const auto text = m.writer.result(m.rounds->use(s->use).id, s->result.text, s->result.error);
          left = left || (m.call.stream && !m.visit.connection.piece(text)), wrote = clock_now();
        } else if (const auto* n = std::get_if<rounds::NextRound>(&step)) {
          return *n;
        } else if (const auto* e = std::get_if<rounds::EndMessage>(&step)) {
          return finish(m, e->why);
        } else if (const auto* f = std::get_if<rounds::FailMessage>(&step)) {
          return fail(m, messages::timed_out(f->what), Span{}, m.rounds->harmless());
        }
      }
      steps.clear();
      if (left || core_.aborting()) {
        for (const auto& step : m.rounds->give_up())
          if (const auto* d = std::get_if<rounds::DropCall>(&step)) calls_->cancel(out[d->use]);
        if (left) return false;
        return fail(m, messages::failed("this front is stopping"), Span{}, false);
      }
      const Instant until =
          std::min({m.rounds->ends(), clock_now() + Span::millis(500), wrote + core_.settings().ping});
      left = net::wait_for(box->wake, client, until) == net::Waited::PeerLeft;
      for (auto& e : box->take())
        for (auto& s : m.rounds->call_ended(clock_now(), e.use, e.ran, std::move(e.result)))
          steps.push_back(std::move(s));
      for (auto& s : m.rounds->tick(clock_now())) steps.push_back(std::move(s));
      if (m.begun && clock_now() - wrote >= core_.settings().ping)
        left = left || !m.visit.connection.piece(messages::AnswerWriter::ping()), wrote = clock_now();
    }
  }

  void start_call(Message& m, const rounds::MakeCall& c, const std::shared_ptr<CallBox>& box,
                  std::map<std::size_t, ToolCalls::CallId>& out) {
    const auto& use = m.rounds->use(c.use);
    const std::string params =
        rpc::with_member(rpc::with_member("{}", {"name"}, rpc::quoted(use.name)), {"arguments"}, use.input);
    ToolCalls::Order order{use.name, params, false, c.until};
    const auto id = calls_->begin(*m.caller, order);
    out[c.use] = id;
    const bool begun =
        box->wake.ok() && workers_.submit([this, box, id, order, number = c.use, caller = m.caller] {
          ToolCalls::Ear nobody;
          const auto done = calls_->make(id, *caller, order, nobody);
          box->put({number, done.unsure ? Ran::Unknown : done.ran ? Ran::Yes : Ran::No, result_of(done)});
        });
    if (begun) return;
    calls_->abandon(id);
    box->put({c.use, Ran::No, {"this front makes no more calls just now; it did not run", true}});
  }

  // What the model is told of a call.
  static rounds::Result result_of(const ToolCalls::Done& d) {
    using H = ToolCalls::Done::How;
    using W = tools::FailCall::Why;
    if (d.how == H::Cancelled) return {"the call was called off", true};
    if (d.how == H::Answered) {
      if (!d.error.empty())
        return {rpc::member_text(d.error, {"message"}).value_or("the tool server refused the call"), true};
      auto said = rpc::text_of_result(d.result);
      return {std::move(said.text), said.error};
    }
    switch (d.fail.why) {
      case W::UnknownTool: return {"no tool of this name is offered; it did not run", true};
      case W::Busy: return {"too many calls wait for this tool; it did not run", true};
      case W::NoServer: return {"no server could take the call; it did not run", true};
      case W::TimedOut: return {"the call could not be made in time; it did not run", true};
      case W::OutcomeUnknown: break;
    }
    return {"no answer came: the tool may have run, and its outcome is unknown", true};
  }

  bool finish(Message& m, rounds::EndMessage::Why why) {
    using W = rounds::EndMessage::Why;
    m.outcome = "completed";
    const StopReason reason = why == W::ForClient   ? StopReason::ToolUse
                              : why == W::Paused    ? StopReason::PauseTurn
                              : why == W::MaxTokens ? StopReason::MaxTokens
                                                    : reason_of(m.last);
    const auto text = m.writer.end(reason, m.last.stop, m.usage);
    if (!m.call.stream) return m.visit.connection.respond(200, headers(m.visit), text, true);
    return m.visit.connection.piece(text) && m.visit.connection.end_stream();
  }

  // A failure is one error: an answer, or the last event of a stream that has begun.
  bool fail(Message& m, const ApiError& e, Span retry_after, bool keep) {
    m.outcome = e.status == 529 ? "shed" : "errored";
    if (!m.begun) return answer(e, m.visit, retry_after, keep);
    return m.visit.connection.piece(messages::AnswerWriter::error(e)) && m.visit.connection.end_stream();
  }

  bool failed(Message& m, const AnswerEnd& end) {
    using H = AnswerEnd::How;
    // What an earlier round did, or its calls, may have had an effect: then a shed reply would invite a
    // second one (rule 2).
    const bool shed =
        end.how == H::Shed || (end.how == H::NotTaken && end.not_taken == Core::Opened::Why::Full);
    if (shed && (!m.rounds->harmless() || (m.rounds->round() > 0 && m.route.effect != Effect::Retriable)))
      return fail(m, messages::failed("no engine took the message on; what it did so far may have run"),
                  Span{}, true);
    switch (end.how) {
      case H::Shed:
        return fail(m, messages::overloaded("no engine can answer this in time; trying again is harmless"),
                    end.retry_after, true);
      case H::NotTaken: return fail(m, not_taken(end.not_taken), end.retry_after, true);
      case H::Refused:
        return fail(m, messages::invalid(end.message.empty() ? "the engine refused the prompt" : end.message),
                    Span{}, true);
      case H::Stopping:
        return fail(m,
                    messages::failed(end.message.empty() ? "this front is stopping; the outcome is unknown"
                                                         : end.message),
                    Span{}, false);
      case H::Left: return false;
      case H::Broken:
        return fail(m,
                    end.begun && !m.call.stream && clock_now() >= m.rounds->ends() - Span::millis(10)
                        ? messages::timed_out(end.message)
                        : messages::failed(end.message),
                    Span{}, true);
      case H::Completed:
      case H::Late: break;
    }
    return fail(m,
                end.outcome_unknown
                    ? messages::failed("no answer came; it may have run, and its outcome is unknown")
                    : messages::timed_out("no answer came in time"),
                Span{}, true);
  }

  Core& core_;
  std::atomic<std::size_t> in_work_ = 0;
  const std::shared_ptr<ToolCalls> calls_;
  CallerBook callers_;
  Workers workers_;  // of calls
};

}  // namespace

std::unique_ptr<Protocol> messages_front(Core& core, std::shared_ptr<ToolCalls> calls) {
  return std::make_unique<Messages>(core, std::move(calls));
}

}  // namespace calicograde::front
