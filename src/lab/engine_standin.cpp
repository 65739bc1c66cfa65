#include "lab/engine_standin.hpp"

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>

#include "engines/completions.hpp"
#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::lab {

using net::clock_now;
using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t block_bytes = 256, blocks_kept = 200000, events_kept = 10000, stack = 128 << 10;
constexpr Span state_life = Span::millis(30000), tombstone_life = Span::millis(10000);
constexpr double near_tokens_per_s = 300000;

}  // namespace

struct EngineStandin::Asked {
  std::string name, mark, model, text, key, place, state_at, state_name;
  double tokens = 0;
  int answer_tokens = 1, round = 0;
  bool read = false;
  std::vector<std::string> calls;  // of tools, that the answer ends with
  prefix::Chain chain;
};

namespace {

// The user's last words may hold "[call a|b] [call c]": the rounds in which the stand-in asks for these
// tools,
// "|" between those of one round. "[call a*]" as the last one goes on without end.
std::vector<std::string> calls_of(const Json& messages, int& round) {
  std::string words;
  round = 0;
  for (const auto& m : messages) {
    if (!m.is_object()) continue;
    if (m.value("role", "") == "user" && m["content"].is_string())
      words = m["content"].get<std::string>(), round = 0;
    if (m.contains("tool_calls")) ++round;
  }
  std::vector<std::string> rounds;
  for (auto at = words.find("[call "); at != std::string::npos; at = words.find("[call ", at + 1))
    rounds.push_back(words.substr(at + 6, words.find(']', at) - at - 6));
  if (rounds.empty()) return {};
  const bool endless = rounds.back().ends_with('*');
  if (endless) rounds.back().pop_back();
  if (static_cast<std::size_t>(round) >= rounds.size() && !endless) return {};
  std::string now = rounds[std::min(rounds.size() - 1, static_cast<std::size_t>(round))] + "|", name;
  std::vector<std::string> out;
  for (const char c : now)
    if (c != '|') name += c;
    else out.push_back(std::exchange(name, {}));
  return out;
}

}  // namespace

EngineStandin::EngineStandin(EngineOptions options, Recorder& records, std::shared_ptr<DedupeMemory> dedupe)
    : options_(std::move(options)),
      records_(records),
      dedupe_(std::move(dedupe)),
      started_(clock_now()),
      random_(static_cast<std::uint32_t>(options_.seed)) {
  if (options_.emulated) {
    emulator::Shape shape;
    shape.stage = options_.stage, shape.running = static_cast<std::size_t>(options_.slots),
    shape.queue = static_cast<std::size_t>(options_.queue);
    shape.blocks = static_cast<std::size_t>(options_.memory_tokens / shape.block_tokens);
    shape.read_us = 1e6 / options_.read_per_s, shape.cold_from = options_.cold_from;
    shape.cold = options_.cold, shape.state_life = state_life, shape.events = options_.cache_events;
    emulated_ = std::make_unique<Emulated>(shape, [this](const std::vector<prefix::CacheEvent>& events) {
      const std::lock_guard lock(mutex_);
      for (const auto& e : events) tell(e.what, e.after, e.blocks);
    });
  }
  listener_ = std::make_shared<net::Listener>(net::Address{"127.0.0.1", 0});
  port_ = listener_->port();
  address_ = "127.0.0.1:" + std::to_string(port_);
  acceptor_ = std::thread([this, l = listener_, life = life_.load()] { accept(l, life); });
}

EngineStandin::~EngineStandin() {
  if (!is_down()) crash();
  while (threads_ > 0) usleep(1000);
}

std::string EngineStandin::incarnation() const { return std::to_string(life_); }
Span EngineStandin::age() const {
  const std::lock_guard lock(mutex_);
  return clock_now() - started_;
}
bool EngineStandin::is_down() const {
  const std::lock_guard lock(mutex_);
  return faults_.down;
}
Faults EngineStandin::faults() {
  const std::lock_guard lock(mutex_);
  return faults_;
}
void EngineStandin::set(const std::function<void(Faults&)>& change) {
  const std::lock_guard lock(mutex_);
  change(faults_);
  if (std::exchange(faults_.forget, false)) forget_kept();
}

void EngineStandin::note(const std::string& what, const std::string& name, const std::string& mark,
                         const std::string& how, double number, std::optional<Instant> at) {
  records_.add({at.value_or(clock_now()), what, address_, name, mark, how, number});
}

void EngineStandin::crash() {
  {
    const std::lock_guard lock(mutex_);
    if (faults_.down) return;
    faults_ = {}, faults_.down = true;
    ++life_;
    for (const auto& [name, h] : held_) note("unheld", name, "", "lost");
    held_.clear(), kept_.clear(), chains_.clear(), told_.clear(), arrivals_.clear();
    next_event_ = 0;
    note("down", "", "", "crash");
  }
  if (emulated_) emulated_->restart();
  listener_->stop();
  acceptor_.join();
  listener_.reset();
}

void EngineStandin::restart() {
  if (!is_down()) crash();
  while (threads_ > 0) usleep(1000);
  if (emulated_) emulated_->restart();
  listener_ = std::make_shared<net::Listener>(net::Address{"127.0.0.1", port_});
  {
    const std::lock_guard lock(mutex_);
    faults_ = {};
    told_.clear(), next_event_ = 0;  // an old life's last words are not this one's
    started_ = clock_now(), cold_ = true, reading_ = writing_ = waiting_ = 0, reading_until_ = started_;
    ++life_;
    note("started", incarnation(), "", "cold", options_.rate);
  }
  acceptor_ = std::thread([this, l = listener_, life = life_.load()] { accept(l, life); });
}

void EngineStandin::accept(std::shared_ptr<net::Listener> listener, int life) {
  while (life_ == life) {
    auto stream = listener->accept(clock_now() + Span::millis(1000));
    if (!stream) continue;
    ++threads_;
    auto shared = std::make_shared<net::Stream>(std::move(*stream));
    if (!net::start_thread(stack, [this, shared, life] { serve(std::move(*shared), life), --threads_; }))
      --threads_;
  }
}

void EngineStandin::serve(net::Stream stream, int life) {
  http::Limits limits;
  limits.idle = Span::millis(100), limits.body_bytes = 64 << 20;
  http::ServerConnection c(std::move(stream), limits);
  // A send that waits in a slow handshake is out already: it counts from the connection.
  std::optional<Instant> connected;
  if (const Span h = faults().handshake; h > Span{}) connected = clock_now(), wait(c, clock_now() + h, life);
  for (Instant last = clock_now(); life_ == life && clock_now() - last < Span::millis(60000);) {
    http::Request request;
    const auto end = c.read(request);
    if (end == http::ReadEnd::Closed && c.stream().peer_left()) break;
    if (end == http::ReadEnd::Closed) continue;  // idle for a moment: looks whether the engine still lives
    // A crashed engine answers nobody, not even with an error.
    const Instant came = std::exchange(connected, {}).value_or(clock_now());
    if (end != http::ReadEnd::Ok || life_ != life || !answer(request, c, life, came)) break;
    last = clock_now();
  }
  if (life_ != life) c.stream().reset_hard();
}

bool EngineStandin::wait(http::ServerConnection& c, Instant until, int life) {
  static const net::Wake never;
  do {
    const Instant slice = std::min(until, clock_now() + Span::millis(20));
    if (net::wait_for(never, c.stream().fd(), slice) == net::Waited::PeerLeft) return false;
    if (life_ != life) return false;
    const Faults f = faults();
    if (f.vanished || f.hung) until = std::max(until, clock_now() + Span::millis(20));
  } while (clock_now() < until);
  return true;
}

bool EngineStandin::respond(http::ServerConnection& c, int status, const std::string& body) {
  http::Headers h{{"content-type", "application/json"}};
  if (options_.reports) h.emplace_back("x-calicograde-load", load());
  return c.respond(status, h, body, true);
}

bool EngineStandin::refuse(const Asked& a, http::ServerConnection& c, int status, const std::string& code) {
  note("send_end", a.name, a.mark, code);
  return respond(c, status, Json{{"error", {{"code", code}, {"message", "stand-in: " + code}}}}.dump());
}

std::string EngineStandin::load() {
  const double emulated = emulated_ ? emulated_->memory_share() : 0;
  const std::lock_guard lock(mutex_);
  double held = 0;
  for (const auto& [name, h] : held_) held += h.tokens;
  LoadReport r;
  r.inferences_held = reading_ + writing_ + static_cast<int>(held_.size());
  r.waiting = waiting_, r.memory_share = emulated_ ? emulated : held / options_.memory_tokens;
  if (!faults_.stale_reports || last_report_.empty()) last_report_ = engines::text_of(r);
  return last_report_;
}

double EngineStandin::held_tokens() {
  double sum = 0;
  const Instant now = clock_now();
  for (auto it = held_.begin(); it != held_.end();) {
    if (it->second.until < now) note("unheld", it->first, "", "expired"), it = held_.erase(it);
    else sum += (it++)->second.tokens;
  }
  return sum;
}

bool EngineStandin::hold(const std::string& name, double tokens, bool place, emulator::JobId job) {
  const std::lock_guard lock(mutex_);
  std::erase_if(released_early_, [](const auto& r) { return clock_now() - r.second > tombstone_life; });
  if (released_early_.erase(name) > 0) return false;
  // What an emulated engine has read it has room for.
  if (const double held = held_tokens(); job == 0 && held + tokens > options_.memory_tokens) return false;
  if (place &&
      (writing_ + std::count_if(held_.begin(), held_.end(), [](const auto& h) { return h.second.place; }) >=
           options_.slots ||
       waiting_ > 0))
    return false;
  held_[name] = {tokens, place, clock_now() + state_life, job};
  note("held", name, "", place ? "place" : "state", tokens);
  return true;
}

bool EngineStandin::unhold(const std::string& name, const std::string& how) {
  emulator::JobId job = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto it = held_.find(name);
    if (it == held_.end()) {
      if (how == "released") released_early_[name] = clock_now();
      return false;
    }
    job = it->second.job;
    held_.erase(it);
    note("unheld", name, "", how);
  }
  return job == 0 || emulated_->take_state(job);
}

double EngineStandin::capacity() {
  if (!cold_) return 1;
  return std::min(1.0,
                  options_.cold_from + (1 - options_.cold_from) * ((clock_now() - started_) / options_.cold));
}

// A cold engine falls over when sent more than the multiple of what it can do just now, over the window.
bool EngineStandin::pushed_over() {
  const std::lock_guard lock(mutex_);
  const Instant now = clock_now();
  arrivals_.push_back(now);
  while (!arrivals_.empty() && now - arrivals_.front() > options_.fall) arrivals_.pop_front();
  const double most = options_.fall_multiple * capacity() * options_.rate * options_.fall.seconds() + 3;
  return cold_ && capacity() < 1 && static_cast<double>(arrivals_.size()) > most;
}

double EngineStandin::find_kept(const prefix::Chain& chain, double tokens) {
  const std::lock_guard lock(mutex_);
  using What = prefix::CacheEvent::What;
  if (kept_.size() > blocks_kept) forget_kept();
  std::size_t found = 0;
  while (found < chain.size() && kept_.contains(chain[found])) ++found;
  if (found < chain.size()) {
    kept_.insert(chain.begin() + static_cast<std::ptrdiff_t>(found), chain.end()), chains_.push_back(chain);
    tell(What::Stored, found == 0 ? 0 : chain[found - 1],
         {chain.begin() + static_cast<std::ptrdiff_t>(found), chain.end()});
  }
  return chain.empty() ? 0 : tokens * static_cast<double>(found) / static_cast<double>(chain.size());
}

void EngineStandin::forget_kept() {
  kept_.clear(), chains_.clear();
  tell(prefix::CacheEvent::What::Cleared, 0, {});
}

void EngineStandin::tell(prefix::CacheEvent::What what, prefix::BlockName after, prefix::Chain blocks) {
  // One is lost on its way: its number is used up.
  if (std::exchange(faults_.lose_event, false)) return void(++next_event_);
  told_.push_back({next_event_++, what, after, std::move(blocks)});
  if (told_.size() > events_kept) told_.pop_front();
}

bool EngineStandin::stream_cache(http::ServerConnection& c, int life) {
  if (!options_.cache_events) return respond(c, 404, "{}");
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
  std::uint64_t next = 0;
  std::string out;
  std::vector<prefix::Chain> chains;
  {
    const std::lock_guard lock(mutex_);
    next = next_event_, chains = chains_;
  }
  // An emulated engine forgets by itself: what is left of each chain. What changes meanwhile comes as events.
  for (auto& chain : chains)
    if (emulated_) chain.resize(emulated_->kept(chain));
  std::erase_if(chains, [](const auto& chain) { return chain.empty(); });
  out = http::event_text("", engines::text_of(engines::CacheWhole{next, chains}));
  for (Instant wrote = clock_now(); c.piece(out);) {
    if (!wait(c, clock_now() + Span::millis(2), life)) return false;
    out.clear();
    {
      const std::lock_guard lock(mutex_);
      for (const auto& e : told_)
        if (e.number >= next)
          out += http::event_text("", engines::text_of(engines::CacheWord(e))), next = e.number + 1;
    }
    if (!out.empty()) wrote = clock_now();
    if (clock_now() - wrote > Span::millis(2000)) out = ": alive\n\n", wrote = clock_now();
  }
  return false;
}

bool EngineStandin::answer(const http::Request& request, http::ServerConnection& c, int life, Instant came) {
  const Json j = Json::parse(request.body, nullptr, false);
  const std::string name(http::header(request.headers, "x-request-id"));
  if (const Faults f = faults(); f.vanished || f.hung) {
    if (request.target == "/v1/chat/completions") note("send", name, "", "unanswered", 0, came);
    const bool back = wait(c, clock_now() + Span::millis(1), life);
    if (request.target == "/v1/chat/completions") note("send_end", name, "", "unanswered");
    if (f.vanished || !back) return false;  // a machine that comes back knows nothing of it
  }
  if (request.target == "/calicograde/v1/release") return unhold(name, "released"), respond(c, 200, "{}");
  if (request.target == "/calicograde/v1/hold") {
    const bool held = options_.places && j.is_object() &&
                      hold(name, j.value("prompt_tokens", 0.0) + j.value("max_tokens", 0.0) / 2, true);
    return respond(c, 200, held ? "{\"held\":true}" : "{\"held\":false}");
  }
  if (request.target == "/calicograde/v1/cache") return stream_cache(c, life);
  if (request.target == "/standin/fetch") {
    const bool got = unhold(name, "taken");
    return respond(c, got ? 200 : 404, "{}");
  }
  Asked a;
  a.name = name;
  if (request.target != "/v1/chat/completions" || !j.is_object() || !j.contains("messages") ||
      !j["messages"].is_array())
    return refuse(a, c, 400, "invalid_request");
  for (const auto& m : j["messages"])
    if (m.contains("content") && m["content"].is_string())
      a.text += m.value("role", "") + ":" + m["content"].get<std::string>() + "\n";
  a.tokens = static_cast<double>(a.text.size()) / 4;
  if (const auto at = a.text.rfind("[mark "); at != std::string::npos)
    a.mark = a.text.substr(at + 6, a.text.find(']', at) - at - 6);
  a.calls = calls_of(j["messages"], a.round);
  if (!j.contains("tools")) a.calls.clear();
  // Each round of a message is an inference of its own.
  if (a.round > 0 && !a.mark.empty()) a.mark += "#" + std::to_string(a.round);
  prefix::Cutter cutter(block_bytes);
  cutter.add(j.value("model", "") + "\n"), cutter.add(engines::canonical_text(request.body));
  a.chain = cutter.chain();
  a.model = j.value("model", ""), a.answer_tokens = j.value("max_tokens", 1),
  a.key = http::header(request.headers, "idempotency-key");
  a.place = j.value("calicograde_place", "");
  const Json params = j.value("kv_transfer_params", Json());
  a.read = params.is_object() && params.value("do_remote_decode", false);
  if (params.is_object() && !a.read) {
    a.state_name = params.value("remote_request_id", "");
    a.state_at = params.value("remote_host", "") + ":" + std::to_string(params.value("remote_port", 0));
  }
  note("send", name, a.mark, a.read ? "read" : a.state_name.empty() ? "whole" : "write", a.tokens, came);
  if (pushed_over()) {
    note("fell", name, "", "pushed over");
    std::thread([this] { crash(); }).detach();
    return false;
  }
  const Faults f = faults();
  bool fails = false;
  {
    const std::lock_guard lock(mutex_);
    fails = std::uniform_real_distribution<double>()(random_) < f.failing;
  }
  if (fails) return refuse(a, c, 500, "internal");
  if (!f.closed_to.empty() && f.closed_to == a.model) return refuse(a, c, 429, "queue_full");
  if (emulated_) return a.read ? emulated_read(a, c, life) : emulated_write(a, c, life);
  return a.read ? read(a, c, life) : write(a, c, life);
}

bool EngineStandin::read(const Asked& a, http::ServerConnection& c, int life) {
  if (options_.stage == Stage::Write) return refuse(a, c, 400, "no_reader");
  Instant done;
  double kept = 0;
  const double slow = faults().slow;
  bool full = false;
  kept = find_kept(a.chain, a.tokens);
  {
    const std::lock_guard lock(mutex_);
    full = reading_ >= options_.slots + options_.queue;
    if (!full) {
      ++reading_;
      reading_until_ = std::max(reading_until_, clock_now()) +
                       Span::from_seconds((a.tokens - kept + 100) / options_.read_per_s / capacity() * slow);
      done = reading_until_;
    }
  }
  if (full) return refuse(a, c, 429, "queue_full");
  const bool alive = wait(c, done, life);
  {
    const std::lock_guard lock(mutex_);
    if (life_ == life) --reading_;
  }
  if (!alive) return note("send_end", a.name, a.mark, "left"), false;
  if (faults().garbage)
    return note("send_end", a.name, a.mark, "garbage"), respond(c, 200, "{\"what\":") && false;
  if (!hold(a.name, a.tokens, false)) return refuse(a, c, 429, "queue_full");
  return answer_read(a, c, kept);
}

bool EngineStandin::answer_read(const Asked& a, http::ServerConnection& c, double kept) {
  const Json body{{"id", a.name},
                  {"object", "chat.completion"},
                  {"choices", Json::array({{{"index", 0},
                                            {"message", {{"role", "assistant"}, {"content", "x"}}},
                                            {"finish_reason", "length"}}})},
                  {"kv_transfer_params",
                   {{"do_remote_prefill", true},
                    {"do_remote_decode", false},
                    {"remote_engine_id", address_},
                    {"remote_block_ids", {1, 2, 3}},
                    {"remote_host", "127.0.0.1"},
                    {"remote_port", port_},
                    {"remote_request_id", a.name}}},
                  {"usage",
                   {{"prompt_tokens", std::llround(a.tokens)},
                    {"completion_tokens", 1},
                    {"prompt_tokens_details", {{"cached_tokens", std::llround(kept)}}}}}};
  note("send_end", a.name, a.mark, "read");
  // An answer that nobody can take leaves a state that nobody knows of.
  return respond(c, 200, body.dump()) || (unhold(a.name, "undelivered"), false);
}

// The state that its write names, from the reader that holds it.
bool EngineStandin::fetch(const Asked& a) {
  const auto from = net::parse_address(a.state_at);
  if (!from) return false;
  auto [how, stream] = net::Stream::connect(*from, clock_now() + Span::millis(250));
  if (how != net::ConnectEnd::Connected) return false;
  http::ClientConnection link(std::move(stream));
  http::Response head;
  const Instant until = clock_now() + Span::millis(500);
  return link.ask("POST", "/standin/fetch", {{"host", "standin"}, {"x-request-id", a.state_name}}, "{}",
                  until) &&
         link.read_head(head, until) == http::BodyEnd::Done && head.status == 200;
}

void EngineStandin::take_effect(const Asked& a) {
  bool effect = true;
  if (!a.key.empty() && dedupe_) {
    const std::lock_guard lock(dedupe_->mutex);
    effect = dedupe_->seen.emplace(a.key, clock_now()).second;
  }
  if (effect) note("effect", a.name, a.mark, a.key);
}

bool EngineStandin::write(const Asked& a, http::ServerConnection& c, int life) {
  if (options_.stage == Stage::Read) return refuse(a, c, 400, "no_writer");
  if (options_.stage == Stage::Write && a.state_name.empty()) return refuse(a, c, 409, "kv_state_gone");
  const bool placed = !a.place.empty() && unhold(a.place, "taken");
  bool in = placed;
  for (bool queued = false;;) {
    {
      const std::lock_guard lock(mutex_);
      if (placed || writing_ < options_.slots) {
        ++writing_, in = true;
        if (queued) --waiting_;
        break;
      }
      if (!queued && waiting_ >= options_.queue) break;
      if (!queued) ++waiting_, queued = true;
    }
    if (!wait(c, clock_now() + Span::millis(2), life)) {
      const std::lock_guard lock(mutex_);
      if (life_ == life) --waiting_;
      return note("send_end", a.name, a.mark, "left"), false;
    }
  }
  if (!in) return refuse(a, c, 429, "queue_full");
  const auto out = [&](const std::string& how) {
    const std::lock_guard lock(mutex_);
    if (life_ == life) --writing_;
    note("send_end", a.name, a.mark, how);
  };
  const Faults f = faults();
  if (!a.state_name.empty()) {
    const auto from = net::parse_address(a.state_at);
    bool got = false;
    if (from && wait(c, clock_now() + Span::from_seconds(a.tokens / near_tokens_per_s * f.link_slow), life)) {
      got = fetch(a);
    }
    if (!got) {
      const std::lock_guard lock(mutex_);
      if (life_ == life) --writing_;
    }
    if (!got && life_ != life) return false;
    if (!got) return refuse(a, c, 409, "kv_state_gone");
  }
  take_effect(a);
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return out("left"), false;
  const int n = std::max(1, std::min(a.answer_tokens, 3 + static_cast<int>(a.tokens) % 40));
  const auto await_token = [&](int k) {
    const Span pace = k == 0 && options_.first_token > Span{} ? options_.first_token : options_.token;
    if (wait(c, clock_now() + pace * (faults().slow / std::max(0.2, capacity())), life)) return true;
    return out("left"), false;
  };
  return stream(a, c, n, await_token, out);
}

bool EngineStandin::stream(const Asked& a, http::ServerConnection& c, int n,
                           const std::function<bool(int)>& await_token,
                           const std::function<void(const std::string&)>& out) {
  for (int k = 0; k <= n; ++k) {
    if (!await_token(k)) return false;
    const Faults now = faults();
    if (now.garbage) return out("garbage"), c.piece("data: {\"choices\":[{\"delta\":\n\n") && false;
    if (now.cut && k > n / 2) return out("cut"), false;
    Json chunk{{"id", a.name}, {"object", "chat.completion.chunk"}};
    Json choice{{"index", 0}, {"delta", Json::object()}, {"finish_reason", nullptr}};
    if (k < n) choice["delta"]["content"] = "w" + std::to_string(k) + " ";
    else choice["finish_reason"] = !a.calls.empty() ? "tool_calls" : n == a.answer_tokens ? "length" : "stop";
    // Each call in two parts, before the answer's end.
    for (std::size_t t = 0; k == n && t < a.calls.size(); ++t) {
      const Json input{{"mark", a.mark.substr(0, a.mark.find('#'))},
                       {"call", std::to_string(a.round) + "." + std::to_string(t)}};
      const std::string text = input.dump();
      for (const std::size_t from : {std::size_t{0}, text.size() / 2}) {
        Json part{{"index", t}, {"function", {{"arguments", text.substr(from, text.size() / 2 + from)}}}};
        if (from == 0) part["id"] = a.name + "-" + std::to_string(t), part["function"]["name"] = a.calls[t];
        Json said = chunk;
        said["choices"] = Json::array(
            {{{"index", 0}, {"delta", {{"tool_calls", Json::array({part})}}}, {"finish_reason", nullptr}}});
        if (!c.piece(http::event_text("", said.dump()))) return out("left"), false;
      }
    }
    chunk["choices"] = Json::array({choice});
    if (!c.piece(http::event_text("", chunk.dump()))) return out("left"), false;
  }
  const Json usage{{"choices", Json::array()},
                   {"usage", {{"prompt_tokens", std::llround(a.tokens)}, {"completion_tokens", n}}}};
  out("completed");
  return c.piece(http::event_text("", usage.dump()) + http::event_text("", "[DONE]")) && c.end_stream();
}

// ---- emulated

Emulated::Word EngineStandin::await(const Asked& a, http::ServerConnection& c, emulator::JobId job,
                                    int life) {
  using What = Emulated::Word::What;
  for (;;) {
    const auto word = emulated_->next(job, clock_now() + Span::millis(20));
    if (word.what == What::Lost) return note("send_end", a.name, a.mark, "left"), word;
    if (word.what != What::Nothing) return word;
    if (wait(c, clock_now(), life)) continue;
    emulated_->cancel(job);
    return note("send_end", a.name, a.mark, "left"), Emulated::Word{What::Lost, 0};
  }
}

bool EngineStandin::emulated_read(const Asked& a, http::ServerConnection& c, int life) {
  using What = Emulated::Word::What;
  if (options_.stage == Stage::Write) return refuse(a, c, 400, "no_reader");
  const auto job = emulated_->submit(emulator::Job::Kind::Read, a.chain, 1, false);
  const auto word = await(a, c, job, life);
  if (word.what == What::Lost) return false;
  if (word.what != What::ReadDone) return refuse(a, c, 429, "queue_full");
  {
    const std::lock_guard lock(mutex_);
    if (chains_.size() < 10000) chains_.push_back(a.chain);
  }
  const double blocks = static_cast<double>(std::max<std::size_t>(1, a.chain.size()));
  if (!hold(a.name, a.tokens, false, job)) {
    emulated_->take_state(job);
    return refuse(a, c, 429, "queue_full");
  }
  return answer_read(a, c, a.tokens * static_cast<double>(word.found) / blocks);
}

bool EngineStandin::emulated_write(const Asked& a, http::ServerConnection& c, int life) {
  using What = Emulated::Word::What;
  if (options_.stage == Stage::Read) return refuse(a, c, 400, "no_writer");
  const bool fetches = !a.state_name.empty();
  if (options_.stage == Stage::Write && !fetches) return refuse(a, c, 409, "kv_state_gone");
  if (!a.place.empty()) unhold(a.place, "taken");
  const int n = std::max(1, std::min(a.answer_tokens, 3 + static_cast<int>(a.tokens) % 40));
  const auto job = emulated_->submit(fetches ? emulator::Job::Kind::Write : emulator::Job::Kind::Whole,
                                     a.chain, static_cast<std::uint32_t>(n), fetches);
  // Words until its first token: a read of its own, or the fetch of its state.
  for (bool first = false; !first;) {
    const auto word = await(a, c, job, life);
    if (word.what == What::Lost) return false;
    if (word.what == What::Full) return refuse(a, c, 429, "queue_full");
    if (word.what == What::Gone) return refuse(a, c, 409, "kv_state_gone");
    if (word.what == What::WantState) emulated_->state(job, fetch(a));
    first = word.what == What::Token;
  }
  const auto out = [&](const std::string& how) {
    if (how != "completed") emulated_->cancel(job);
    note("send_end", a.name, a.mark, how);
  };
  take_effect(a);
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return out("left"), false;
  const auto await_token = [&](int k) {
    while (k > 0 && k < n) {
      const auto word = await(a, c, job, life);
      if (word.what == What::Lost) return false;
      if (word.what == What::Token) break;
    }
    return true;
  };
  const bool whole = stream(a, c, n, await_token, out);
  emulated_->cancel(job);  // its words
  return whole;
}

}  // namespace calicograde::lab
