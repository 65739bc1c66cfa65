#include "soak/engines.hpp"

#include <unistd.h>

#include "net/clock.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr Span step = Span::millis(5);  // of a wait
constexpr Span read_time = Span::millis(25), first_token_time = Span::millis(20),
               event_time = Span::millis(6);
constexpr int events = 6;
constexpr std::uint64_t one_in_cut = 3;

// Its content tells attempts apart, so that it is seen whose stream a client got.
std::string event_text(std::uint64_t attempt, int number) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a" + std::to_string(attempt) + "e" +
         std::to_string(number) + "\"}}]}\n\n";
}

std::string stream_of(std::uint64_t attempt) {
  std::string out;
  for (int k = 0; k < events; ++k) out += event_text(attempt, k);
  return out + "data: [DONE]\n\n";
}

}  // namespace

void HeldState::read_begins(const std::string& id) {
  const std::lock_guard lock(mutex_);
  reading_.insert(id);
}

void HeldState::read_ends(const std::string& id) {
  const std::lock_guard lock(mutex_);
  if (const auto it = reading_.find(id); it != reading_.end()) reading_.erase(it);
}

void HeldState::hold(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  states_.insert(id);
  if (held_[id].insert(engine).second) journal_.add(HoldBegan{id, engine, clock_now()});
}

bool HeldState::grant_place(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  if (!reading_.contains(id)) return false;
  if (held_[id].insert(engine).second) journal_.add(HoldBegan{id, engine, clock_now()});
  return true;
}

void HeldState::drop(std::map<std::string, std::set<std::size_t>>::iterator held) {
  for (const std::size_t engine : held->second) journal_.add(HoldEnded{held->first, engine, clock_now()});
  held_.erase(held);
}

bool HeldState::fetch(const std::string& id) {
  const std::lock_guard lock(mutex_);
  if (states_.erase(id) == 0) return false;
  if (const auto it = held_.find(id); it != held_.end()) drop(it);
  return true;
}

void HeldState::release(const std::string& id) {
  const std::lock_guard lock(mutex_);
  states_.erase(id);
  if (const auto it = held_.find(id); it != held_.end()) drop(it);
}

void HeldState::forget_engine(std::size_t engine) {
  const std::lock_guard lock(mutex_);
  for (auto it = held_.begin(); it != held_.end();) {
    const auto here = it++;
    if (here->second.erase(engine) == 0) continue;
    journal_.add(HoldEnded{here->first, engine, clock_now()});
    if (here->second.empty()) states_.erase(here->first), held_.erase(here);
  }
}

struct SoakEngine::Attempt {
  Attempt(SoakEngine& of, std::string request_id)
      : engine(of), id(std::move(request_id)), number(++of.attempts_), life(of.life_) {
    engine.journal_.add(AttemptBegan{id, engine.number_, number, engine.role_, clock_now()});
    if (engine.role_ == Role::Prefill) engine.held_.read_begins(id);
  }
  ~Attempt() {
    if (engine.role_ == Role::Prefill) engine.held_.read_ends(id);
    engine.journal_.add(AttemptEnded{id, number, clock_now(), ran, stream, broken});
  }
  bool of_this_life() const { return life == engine.life_; }
  SoakEngine& engine;
  const std::string id;
  const std::uint64_t number;
  const int life;
  bool ran = false, broken = false;
  std::string stream;
};

SoakEngine::SoakEngine(std::size_t number, Role role, HeldState& held, Journal& journal,
                       std::atomic<std::uint64_t>& attempts)
    : number_(number),
      role_(role),
      held_(held),
      journal_(journal),
      attempts_(attempts),
      server_([this](net::Stream s) { serve(std::move(s)); }) {}

SoakEngine::~SoakEngine() { stopping_ = true; }

std::string SoakEngine::address() const { return server_.address(); }
void SoakEngine::hang(bool on) { hanging_ = on; }

void SoakEngine::restart() {
  ++life_;
  server_.drop_connections();
  held_.forget_engine(number_);
}

bool SoakEngine::work(http::ServerConnection& connection, Span time) const {
  for (const Instant until = clock_now() + time; clock_now() < until || hanging_;) {
    if (stopping_ || connection.stream().peer_left()) return false;
    usleep(static_cast<useconds_t>(step.as_micros()));
  }
  return !connection.stream().peer_left();
}

void SoakEngine::serve(net::Stream stream) {
  http::Limits limits;
  limits.idle = Span::millis(60000);
  http::ServerConnection connection(std::move(stream), limits);
  http::Request request;
  while (!stopping_ && connection.read(request) == http::ReadEnd::Ok) {
    if (request.target.starts_with("/state/")) serve_state(request, connection);
    else if (!serve_attempt(request, connection)) return;
  }
}

void SoakEngine::serve_state(const http::Request& request, http::ServerConnection& connection) {
  const std::string id = request.target.substr(std::string_view("/state/").size());
  if (request.method == "DELETE") {
    held_.release(id);  // it counts once its last byte has come, answered or not
    if (work(connection, Span{})) connection.respond(204, {}, "", true);
    return;
  }
  const bool granted = held_.grant_place(id, number_);
  if (work(connection, Span{})) connection.respond(granted ? 200 : 204, {}, "", true);
}

bool SoakEngine::serve_attempt(const http::Request& request, http::ServerConnection& connection) {
  Attempt attempt(*this, std::string(http::header(request.headers, "request-id")));
  return role_ == Role::Prefill ? read_prompt(attempt, connection) : write_answer(attempt, connection);
}

bool SoakEngine::read_prompt(Attempt& attempt, http::ServerConnection& connection) {
  if (!work(connection, read_time)) return false;
  if (!attempt.of_this_life()) return false;
  held_.hold(attempt.id, number_);
  if (cutting_ && attempt.number % one_in_cut == 0) return connection.stream().reset_hard(), false;
  if (!connection.respond(202, {}, R"({"cached_tokens":64})", true)) return false;
  if (doubling_) connection.respond(202, {}, R"({"cached_tokens":1})", true);
  return true;
}

bool SoakEngine::write_answer(Attempt& attempt, http::ServerConnection& connection) {
  if (!held_.fetch(attempt.id)) {
    if (!work(connection, Span{})) return false;
    return connection.respond(410, {{"Not-Started", "1"}}, "", true);
  }
  attempt.ran = true;  // from here on it may have had its effect
  attempt.stream = stream_of(attempt.number);
  const bool cut = cutting_ && attempt.number % one_in_cut == 0;
  if (!work(connection, first_token_time)) return false;
  if (cut && attempt.number % 2 == 0) return attempt.broken = true, connection.stream().reset_hard(), false;
  if (!attempt.of_this_life()) return attempt.broken = true, false;
  if (!connection.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
  for (int k = 0; k < events; ++k) {
    if (!work(connection, event_time)) return attempt.broken = !attempt.of_this_life(), false;
    if (!attempt.of_this_life()) return attempt.broken = true, false;
    if (cut && k == events / 2) return attempt.broken = true, connection.stream().reset_hard(), false;
    if (!connection.piece(event_text(attempt.number, k)))
      return attempt.broken = !attempt.of_this_life(), false;
  }
  if (!connection.piece("data: [DONE]\n\n") || !connection.end_stream()) return false;
  if (doubling_) connection.respond(200, {}, "hi", true);
  return true;
}

}  // namespace calicograde::soak
