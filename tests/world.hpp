#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.hpp"

namespace calicograde::test {

constexpr Span ms(std::int64_t n) { return Span::millis(n); }
inline EngineId eng(int n) { return {{10, 0, 0, static_cast<std::uint8_t>(n)}, 8000}; }

// Two racks; kinds 0 read, 1 write, 2 both.
inline Settings usual_settings() {
  Settings s;
  ModelRoute r;
  r.first_token_target = ms(1000);
  r.target_per_1000_tokens = ms(40);
  r.token_pace = ms(60);
  r.late_value = 0.3;
  r.dedupe_window = ms(1500);
  s.routes = {r};
  s.kinds = {{Stage::Read, 200000}, {Stage::Write, 100000}, {Stage::Both, 100000}};
  s.fronts = 2;
  s.may_cancel = s.second_copies = s.retry_advice = true;
  s.max_sends = 6;
  s.max_retry_after = ms(1000);
  s.pin_limit = ms(300);
  s.connect = ms(100);
  s.cold = ms(10000);
  s.cold_from = 0.25;
  s.fall_multiple = 2.5;
  s.fall = ms(1000);
  s.ask_within = ms(10000);
  return s;
}

inline EngineEntry entry(int n, int kind, int rack = 0) {
  EngineEntry e;
  e.engine = eng(n);
  e.kind = static_cast<std::uint8_t>(kind);
  e.rack = static_cast<std::uint16_t>(rack);
  return e;
}

// Stands where the clients and engines would: hands events to one router, does its actions, keeps count, and
// after every step looks whether a rule is broken.
class World {
 public:
  struct Sent {
    EngineId engine;
    Instant at;
    Span reach, write_within;  // zero = no limit of their own
    Span sign_within, probe_after;
    Span answer_within = {};
    bool reader = false, out = true, started = false, cancelled = false, ran = true;
  };
  struct Inf {
    Arrived what;
    Instant ends;
    int finals = 0;
    bool over = false, shed = false, holds = false;
    Instant free_since;
    std::vector<Sent> sends;
    bool any_out() const {
      return std::any_of(sends.begin(), sends.end(), [](const Sent& s) { return s.out; });
    }
  };

  explicit World(Settings s, std::uint64_t seed = 1) : settings(std::move(s)), router_(seed, settings) {}

  Settings settings;
  Instant now = Instant::at(ms(5000));
  std::map<InfId, Inf> infs;
  std::map<EngineId, EngineEntry> engines;
  std::map<EngineId, Instant> leaving;
  std::vector<Instant> timers;
  std::vector<Action> last;
  std::string broken;

  void list(std::vector<EngineEntry> entries, ListScope scope = ListScope::Full) {
    for (const auto& e : entries) {
      if (e.lifecycle == Lifecycle::Ready) leaving.erase(e.engine);
      else leaving.emplace(e.engine, now);
      engines[e.engine] = e;
    }
    happen(FleetListed{scope, 1, std::move(entries)});
  }

  void arrive(InfId id, double prompt = 1000, Span budget = ms(4000), int route = 0, TextKey session = 0,
              std::optional<std::map<EngineId, double>> kept = {}) {
    Arrived a;
    a.kept = std::move(kept);
    a.inf = id;
    a.route = static_cast<std::uint16_t>(route);
    a.session = session;
    a.budget = budget;
    a.prompt_tokens = prompt;
    a.max_answer_tokens = 200;
    infs[id].what = a;
    infs[id].ends = now + budget;
    happen(a);
  }

  void end(InfId id, std::size_t k, EndedAs as, bool no_state = false, std::uint32_t kept = 0,
           bool kept_link = false, bool written = true) {
    Inf& f = infs[id];
    Sent& s = f.sends[k];
    s.out = false;
    if (proves_unrun(as) || !written || s.reader) s.ran = false;
    if (as == EndedAs::ReadDone) f.holds = true;
    if (no_state) f.holds = false;
    // A send that reached nobody was not out: what is held has been waiting all along.
    const bool broken_before = as == EndedAs::Reset && kept_link && now - s.at < ms(20);
    if (as != EndedAs::ConnectFailed && written && !broken_before) f.free_since = now;
    else if (f.holds && now - f.free_since > settings.pin_limit)
      flaw("rule 5: pinned while nobody was reached");
    const bool final = as == EndedAs::Completed || s.started;
    if (final && !f.over) ++f.finals, f.over = true;
    happen(SendEnded{id,
                     static_cast<std::uint8_t>(k),
                     s.engine,
                     as,
                     now - s.at,
                     f.over,
                     kept,
                     no_state,
                     {},
                     kept_link,
                     written});
  }

  // It was written, and nothing showed that its engine runs: what is held has been waiting all along.
  void call_off(InfId id, std::size_t k, bool no_sign = true) {
    Inf& f = infs[id];
    Sent& s = f.sends[k];
    s.out = false;
    if (s.reader) s.ran = false;
    if (f.holds && now - f.free_since > settings.pin_limit) flaw("rule 5: pinned while nobody was reached");
    SendEnded ended{id, static_cast<std::uint8_t>(k), s.engine, EndedAs::TimedOut, now - s.at};
    ended.arrived = false;
    ended.no_sign = no_sign;
    happen(ended);
  }

  void start(InfId id, std::size_t k) {
    Inf& f = infs[id];
    f.sends[k].started = true;
    f.holds = false;
    happen(StreamStarted{id, static_cast<std::uint8_t>(k), f.sends[k].engine, now - f.sends[k].at});
  }

  void leave(InfId id) {
    infs[id].over = true;
    happen(ClientLeft{id});
  }

  void happen(const Event& e) {
    last = router_.handle(now, e);
    for (const auto& a : last) std::visit([this](const auto& x) { act(x); }, a);
    check();
  }

  // Time passes in small steps; timers fire when due.
  void pass(Span span) {
    const Instant until = now + span;
    while (now < until) {
      now = std::min(until, now + ms(2));
      const auto due = std::count_if(timers.begin(), timers.end(), [&](Instant t) { return t <= now; });
      std::erase_if(timers, [&](Instant t) { return t <= now; });
      for (long k = 0; k < due; ++k) happen(TimerFired{0});
      check();
    }
  }

  const Sent& sent(InfId id, std::size_t k) { return infs.at(id).sends.at(k); }
  const Router& router() const { return router_; }
  std::size_t sends(InfId id) { return infs.at(id).sends.size(); }
  template <class A>
  int count() const {
    return static_cast<int>(std::count_if(last.begin(), last.end(),
                                          [](const Action& a) { return std::holds_alternative<A>(a); }));
  }

 private:
  void flaw(const std::string& what) {
    if (broken.empty()) broken = what + " at " + std::to_string((now - Instant{}).as_millis());
  }

  void reach(const EngineId& e) {
    if (!engines.contains(e)) flaw("an engine that no list named");
    if (const auto it = leaving.find(e); it != leaving.end() && now - it->second > ms(1000))
      flaw("rule 3: after the grace");
  }

  void act(const SendTo& a) {
    reach(a.engine);
    Inf& f = infs.at(a.inf);
    const EngineEntry& to = engines[a.engine];
    if (f.over) flaw("rule 1: sent after the final answer");
    if (static_cast<int>(f.sends.size()) >= settings.max_sends) flaw("more sends than allowed");
    if (!settings.second_copies && f.any_out()) flaw("rule 2: a second copy");
    const ModelRoute& r = settings.routes[f.what.route];
    for (const auto& s : f.sends) {
      if (!s.ran && !s.out) continue;
      if (r.effect == Effect::NonRetriable) flaw("rule 2: sent while it may have run");
      if (r.effect != Effect::Deduped || !s.ran || s.reader) continue;
      const EngineEntry& was = engines[s.engine];
      if (now - s.at > r.dedupe_window) flaw("rule 2: after the window");
      if (r.dedupe_group != DedupeGroup::All && was.zone != to.zone) flaw("rule 2: another zone");
      if (r.dedupe_group == DedupeGroup::Rack && was.rack != to.rack) flaw("rule 2: another rack");
    }
    if (to.started && now - *to.started < settings.cold) {
      auto& sent = cold_[a.engine];
      sent.push_back(now);
      const auto in_window =
          std::count_if(sent.begin(), sent.end(), [&](Instant t) { return t > now - settings.fall; });
      if (static_cast<double>(in_window) > std::max(2.0, settings.fall_multiple * settings.cold_from * 40))
        flaw("rule 4: too much for a cold engine");
    }
    Sent s;
    s.engine = a.engine;
    s.at = now, s.reach = a.reach, s.write_within = a.write_within;
    s.sign_within = a.sign_within, s.probe_after = a.probe_after;
    s.answer_within = a.answer_within;
    s.reader = settings.kinds[to.kind].stage == Stage::Read;
    f.sends.push_back(s);
  }
  void act(const HoldPlace& a) {
    reach(a.engine);
    if (!settings.may_hold_places) flaw("a place where none may be held");
  }
  void act(const LetGo& a) {
    if (Inf& f = infs.at(a.inf); a.at_once || f.over || !f.any_out()) f.holds = false;
  }
  void act(const CancelSend& a) {
    Sent& s = infs.at(a.inf).sends.at(a.send);
    if (!settings.may_cancel) flaw("a cancel where none is allowed");
    s.cancelled = true;
  }
  void act(const Shed& a) {
    Inf& f = infs.at(a.inf);
    const ModelRoute& r = settings.routes[f.what.route];
    const bool loose =
        std::any_of(f.sends.begin(), f.sends.end(), [](const Sent& s) { return s.ran || s.out; });
    const bool ran =
        std::any_of(f.sends.begin(), f.sends.end(), [](const Sent& s) { return s.ran && !s.reader; });
    if (r.effect == Effect::NonRetriable && loose) flaw("rule 2: shed though it may have run");
    if (r.effect == Effect::Deduped && r.dedupe_group != DedupeGroup::All && ran)
      flaw("rule 2: shed, deduped");
    f.shed = true;
    final(f);
  }
  void act(const Fail& a) { final(infs.at(a.inf)); }
  void act(const SetTimer& a) { timers.push_back(now + a.in); }
  void act(const Probe& a) { reach(a.engine); }
  template <class A>
  void act(const A&) {}

  void final(Inf& f) {
    if (f.over) return;
    f.over = true;
    f.free_since = std::max(f.free_since, Instant{});
    ++f.finals;
    if (now > f.ends) flaw("rule 1: answered too late");
  }

  void check() {
    for (auto& [id, f] : infs) {
      const bool streaming =
          std::any_of(f.sends.begin(), f.sends.end(), [](const Sent& s) { return s.started; });
      if (!f.over && !streaming && now > f.ends) flaw("rule 1: no final answer");
      if (f.finals > 1) flaw("rule 1: two final answers");
      if (f.holds && !f.any_out() && now - f.free_since > settings.pin_limit) flaw("rule 5: pinned");
    }
  }

  Router router_;
  std::map<EngineId, std::vector<Instant>> cold_;
};

}  // namespace calicograde::test
