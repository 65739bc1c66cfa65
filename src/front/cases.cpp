#include "front/cases.hpp"

#include <algorithm>

namespace calicograde::front {
namespace {

// Calls on different connections that were written closer together may be begun in another order.
constexpr Span calls_overtake_within = Span::millis(20);

}  // namespace

using engines::Leg;

bool Cases::Case::any_out() const {
  return std::any_of(sends.begin(), sends.end(), [](const Sent& s) { return s.out; });
}
bool Cases::Case::decode_out() const {
  return std::any_of(sends.begin(), sends.end(), [](const Sent& s) { return s.out && s.leg != Leg::Read; });
}
bool Cases::Case::read_out() const {
  return std::any_of(sends.begin(), sends.end(), [](const Sent& s) { return s.out && s.leg == Leg::Read; });
}

Cases::Case* Cases::find(InfId inf) {
  const auto it = cases_.find(inf);
  return it == cases_.end() ? nullptr : &it->second;
}

Reservations* Cases::reservations_of(InfId inf) {
  if (Case* c = find(inf)) return &c->reserved;
  const auto it = leftovers_.find(inf);
  return it == leftovers_.end() ? nullptr : &it->second.reserved;
}

Stage Cases::stage_of(const EngineId& id) const {
  const auto it = kinds_.find(id);
  if (it == kinds_.end() || it->second >= settings_.kinds.size()) return Stage::Both;
  return settings_.kinds[it->second].stage;
}

std::optional<EngineId> Cases::engine_of(InfId inf, std::uint8_t send) const {
  const auto it = cases_.find(inf);
  if (it == cases_.end() || send >= it->second.sends.size()) return std::nullopt;
  return it->second.sends[send].engine;
}

bool Cases::is_whole(InfId inf, std::uint8_t send) const {
  const auto it = cases_.find(inf);
  return it != cases_.end() && send < it->second.sends.size() && it->second.sends[send].leg == Leg::Whole;
}

std::size_t Cases::holdings() const {
  std::size_t n = 0;
  for (const auto& [inf, c] : cases_) n += c.holdings.size();
  return n + leftovers_.size();
}

std::vector<Cases::LongHold> Cases::long_holds(Instant now, Span limit, Span on_top) {
  std::vector<LongHold> out;
  const auto look = [&](auto& of, bool answered) {
    const auto since = of.reserved.reserved_since();
    if (!since) return;
    const Span held = now - *since;
    const bool too_long = held > limit + on_top && !of.reserved.release_tried_since(*since);
    bool& told = too_long ? of.told_too_long : of.told_long;
    if (held <= limit * 0.5 || std::exchange(told, true)) return;
    out.push_back({of.id, held, too_long, of.reserved.count(), of.reserved.unshown_reads().size(),
                   of.reserved.unseen_ends(), of.reserved.unwanted(), answered});
  };
  for (auto& [inf, c] : cases_)
    if (whole_ || !c.any_out()) look(c, c.final != Final::None);
  for (auto& [inf, leftover] : leftovers_) look(leftover, true);
  return out;
}

std::optional<Event> Cases::take(Instant now, const Arrived& arrived, std::string id) {
  at(now);
  Case c;
  c.id = std::move(id);
  c.what = arrived;
  c.ends = now + arrived.budget;
  if (budgets_end_) c.ends = std::min(c.ends, *budgets_end_);
  const auto [it, fresh] = cases_.emplace(arrived.inf, std::move(c));
  if (!fresh) return std::nullopt;
  ends_.emplace(it->second.ends, arrived.inf);
  return arrived;
}

void Cases::listed(const FleetListed& list) {
  std::set<EngineId> named;
  for (const auto& e : list.entries)
    if (e.lifecycle == Lifecycle::Gone && whole_) kinds_.erase(e.engine);
    else kinds_[e.engine] = e.kind, named.insert(e.engine);
  if (list.scope != ListScope::Delta && whole_)
    std::erase_if(kinds_, [&](const auto& k) { return !named.contains(k.first); });
}

namespace {

Reservations::ReadEnd read_end_of(EndedAs as, bool unrun) {
  if (as == EndedAs::ReadDone) return Reservations::ReadEnd::StateKept;
  return unrun ? Reservations::ReadEnd::NeverRan : Reservations::ReadEnd::Unknown;
}

}  // namespace

std::optional<Event> Cases::started(Instant now, InfId inf, std::uint8_t send) {
  at(now);
  Case* c = find(inf);
  if (!c || send >= c->sends.size() || !c->sends[send].out) return std::nullopt;
  Sent& s = c->sends[send];
  s.started = true;
  // It may be that the module shed it a moment ago: the stream had reached the client first, and goes on.
  c->final = Final::Streaming;
  ends_.erase({c->ends, inf});
  // The state that it fetched is taken; whatever else is held for the inference goes. What came too late for
  // the fetch, or may come yet, is released at the end of the stream.
  c->reserved.decode_answered(send);
  std::erase_if(c->holdings, [&](const Holding& h) { return h.awaited_by == send; });
  if (whole_) c->holdings.clear();
  release(*c, [](const Holding&) { return true; });
  return StreamStarted{inf, send, s.engine, now - s.at};
}

std::optional<Event> Cases::ended(Instant now, InfId inf, std::uint8_t send, const Ending& e) {
  at(now);
  Case* c = find(inf);
  if (!c || send >= c->sends.size() || !c->sends[send].out) return std::nullopt;
  Sent& s = c->sends[send];
  s.out = false;
  const bool unrun = proves_unrun(e.as) || !e.written;
  if (unrun || s.leg == Leg::Read) s.ran = false;
  s.unrun = unrun, s.gave_state = e.as == EndedAs::ReadDone;
  const bool own_answer = e.written && e.arrived && e.own_answer;
  if (s.leg != Leg::Read) end_decode(*c, send, e, now);
  else c->reserved.read_ended(send, read_end_of(e.as, unrun), own_answer, now);
  // A stream's end, good or bad, is its inference's: what broke is lost. So is a refusal of the client's own
  // words.
  const bool over = s.started || e.answered || c->final != Final::None;
  if (over && c->final == Final::None) ends_.erase({c->ends, inf});
  if (over) c->final = Final::Given;
  for (auto& h : c->holdings)
    if (h.awaited_by == send) h.awaited_by.reset();
  release(*c, [](const Holding& h) { return h.unwanted && !h.awaited_by; });
  if (e.as == EndedAs::ReadDone) {
    c->holdings.push_back({s.engine, s.name, e.state, false});
  } else if (s.leg == Leg::Read) {
    // It may have been read all the same, with the answer lost on the way: let go by name where that can be
    // said.
    if (!unrun) c->holdings.push_back({s.engine, s.name, {}, false});
    release(*c, [&](const Holding& h) { return h.name == s.name; });
  } else if (e.no_state || e.as == EndedAs::Completed) {
    // Let go by name all the same: an engine may be wrong about what another holds.
    release(*c, [](const Holding& h) { return !h.place && !h.params.empty(); });
  }
  // A place at the engine that failed or refused is not relied on any more.
  if (s.leg != Leg::Read && e.as != EndedAs::Completed)
    release(*c, [&](const Holding& h) { return h.place && h.engine == s.engine; });
  const SendEnded event{inf,       send,          s.engine,   e.as,        now - s.at,
                        over,      e.kept_tokens, e.no_state, e.report,    e.link_uses > 1,
                        e.written, e.arrived,     e.no_sign,  e.own_answer};
  if (over) settle(inf);
  return event;
}

// Of an attempt that was given up its engine may hear later, or never; by the end of the time that it was
// told it stops by itself.
void Cases::end_decode(Case& c, std::uint8_t send, const Ending& e, Instant now) {
  const Sent& s = c.sends[send];
  const bool own_answer = e.written && e.arrived && e.own_answer;
  if (!whole_ || s.unrun || e.end_seen) return c.reserved.decode_ended(send, own_answer, now);
  const Span limit = settings_.pin_limit;
  const Instant over_by = e.broke_off ? now + limit * broken_end_heard_part : std::max(s.until, now) + limit;
  c.reserved.decode_given_up(send, over_by);
}

void Cases::read_written(InfId inf, std::uint8_t send, Instant at) {
  Case* c = find(inf);
  if (c && send < c->sends.size()) c->sends[send].written_before = at;
}

void Cases::end_seen(const Release& undo, std::uint8_t send) {
  if (Reservations* reserved = reservations_of(undo.inf)) {
    reserved->decode_end_seen(send);
    return release_what_may_go(undo.inf);
  }
  this->undo(undo);
}

void Cases::place_asked(const AskPlace& ask) {
  Case* c = find(ask.inf);
  if (!c) return;
  c->reserved.place_asked(ask.number, now_);
  if (ask.read >= c->sends.size()) return;
  Sent& read = c->sends[ask.read];
  if (!read.written_before) read.written_before = now_;
}

std::optional<Event> Cases::place_answered(const AskPlace& ask, std::optional<bool> held) {
  Case* c = find(ask.inf);
  using Place = Reservations::PlaceAnswer;
  const Place answer = !held ? Place::Unknown : *held ? Place::Granted : Place::Refused;
  if (Reservations* reserved = reservations_of(ask.inf)) reserved->place_answered(ask.number, answer);
  const auto current = [&](const Holding& h) { return h.name == ask.name; };
  if (!c || std::none_of(c->holdings.begin(), c->holdings.end(), current)) {
    // It was let go before the engine had granted it, or may have: the release may have come first, so it is
    // sent once more.
    if (answer != Place::Refused) undo({ask.inf, ask.engine, ask.let_go_as});
    return std::nullopt;
  }
  if (!held) return std::nullopt;  // it is among the holdings, and goes with them
  if (!*held) std::erase_if(c->holdings, current);
  if (!c->read_out() || c->final != Final::None) return std::nullopt;
  std::uint8_t read = 0;
  for (std::size_t k = 0; k < c->sends.size(); ++k)
    if (c->sends[k].out && c->sends[k].leg == Leg::Read) read = static_cast<std::uint8_t>(k);
  return PlaceAnswered{ask.inf, read, ask.engine, *held};
}

// Releases what may be held that nobody here waits for.
void Cases::undo(const Release& release) {
  if (!whole_) return order_release(release);
  if (!find(release.inf)) leftovers_.try_emplace(release.inf, Leftover{release.name, release.engine, {}});
  reservations_of(release.inf)->mark_unwanted(now_);
  release_what_may_go(release.inf);
}

void Cases::release_what_may_go(InfId inf) {
  let_loose_go(inf);
  release_leftover(inf, false);
}

// What is left once the request is over, nobody here will take: it is released until nothing is.
void Cases::release_leftover(InfId inf, bool is_due) {
  const auto it = leftovers_.find(inf);
  if (it == leftovers_.end()) return;
  Leftover& left = it->second;
  if (left.reserved.count() == 0) return void(leftovers_.erase(it));
  if (!left.reserved.may_release(now_) || (!is_due && !left.reserved.unwanted())) return;
  const auto since = left.reserved.reserved_since();
  const std::size_t unseen_ends = left.reserved.unseen_ends();
  left.reserved.release_ordered(now_);
  order_release({inf, left.engine, left.id, is_due && since ? std::optional(now_ - *since) : std::nullopt,
                 unseen_ends});
}

void Cases::keep_leftover(Case& c) {
  if (!whole_ || c.reserved.count() == 0) return;
  const EngineId engine = c.sends.empty() ? EngineId{} : c.sends.front().engine;
  leftovers_[c.what.inf] = {c.id, engine, std::move(c.reserved), c.told_long, c.told_too_long};
}

void Cases::abandoned_call_taken(const Release& release) {
  if (Reservations* reserved = reservations_of(release.inf)) reserved->abandoned_call_taken(now_);
  undo(release);
}

void Cases::release_ended(const Release& release, ReleaseEnd end) {
  if (!whole_) return;
  Reservations* reserved = reservations_of(release.inf);
  if (!reserved) return;
  const bool taken = end == ReleaseEnd::Taken;
  reserved->release_ended(taken ? Reservations::ReleaseEnd::Taken : Reservations::ReleaseEnd::NotTaken,
                          settings_.pin_limit, now_);
  if (!taken) reserved->mark_unwanted(now_);
  release_what_may_go(release.inf);
}

std::optional<Event> Cases::client_left(InfId inf) {
  Case* c = find(inf);
  if (!c || c->final == Final::Given) return std::nullopt;
  ends_.erase({c->ends, inf});
  // A stream still has its own outcome to come; the rest is over now.
  if (c->final == Final::None) c->final = Final::Given;
  return ClientLeft{inf};
}

void Cases::obey(Instant now, const std::vector<Action>& actions, std::vector<Event>& events) {
  at(now);
  for (const Action& a : actions) std::visit([&](const auto& x) { act(now, x, events); }, a);
  // Those whose final answer is given and that have nothing out are done.
  for (const Action& a : actions) {
    if (const auto* x = std::get_if<LetGo>(&a)) settle(x->inf);
    if (const auto* x = std::get_if<Shed>(&a)) settle(x->inf);
    if (const auto* x = std::get_if<Fail>(&a)) settle(x->inf);
  }
}

void Cases::act(Instant now, const SendTo& a, std::vector<Event>& events) {
  Case* c = find(a.inf);
  if (!c) return;
  const auto number = static_cast<std::uint8_t>(c->sends.size());
  Sent s{.engine = a.engine, .leg = Leg::Whole, .at = now, .until = c->ends, .name = {}};
  s.name = name_ + "." + std::to_string(a.inf) + "." + std::to_string(number);
  // Rule 1 against a module that forgot: nothing is sent after the final answer.
  const bool moot = c->final != Final::None || now >= c->ends || c->sends.size() >= 255;
  StartSend order{.inf = a.inf,
                  .send = number,
                  .engine = a.engine,
                  .leg = Leg::Whole,
                  .until = c->ends,
                  .reach_by = c->ends,
                  .write_by = c->ends,
                  .name = c->id.empty() ? s.name : c->id,
                  .state = {},
                  .place = {}};
  if (a.time_out > Span{}) order.until = std::min(order.until, now + a.time_out);
  order.reach_by = a.reach > Span{} ? std::min(order.until, now + a.reach) : order.until;
  order.write_by = a.write_within > Span{} ? std::min(order.until, now + a.write_within) : order.until;
  order.reach_by = std::min(order.reach_by, order.write_by);
  if (a.sign_within > Span{}) order.sign_by = now + a.sign_within;
  if (a.answer_within > Span{}) order.answer_by = now + a.answer_within;
  if (a.probe_after > Span{}) order.probe_at = now + a.probe_after;
  if (stage_of(a.engine) == Stage::Read) {
    s.leg = Leg::Read;
  } else if (!moot) {
    for (auto& h : c->holdings) {
      if (h.place && h.engine == a.engine) order.place = h.name, h.awaited_by = number;
      // The state read last is the one that waits.
      if (!h.place && !h.params.empty()) order.state = h.params;
    }
    for (auto& h : c->holdings)
      if (!h.place && h.params == order.state && !h.params.empty()) h.awaited_by = number;
    if (!order.state.empty()) s.leg = Leg::Write;
    release(*c, [&](const Holding& h) { return h.place && h.engine != a.engine; });
  }
  order.leg = s.leg;
  s.until = order.until;
  if (moot) s.out = false, s.ran = false;
  else if (s.leg == Leg::Read) c->reserved.read_ordered(number);
  else c->reserved.decode_ordered(number);
  c->sends.push_back(std::move(s));
  if (moot)
    events.push_back(
        SendEnded{a.inf, number, a.engine, EndedAs::Moot, Span{}, c->final != Final::None, 0, false, {}});
  else orders_.push_back(std::move(order));
}

std::uint8_t Cases::newest_send(const Case& c) {
  return static_cast<std::uint8_t>(c.sends.empty() ? 0 : c.sends.size() - 1);
}

void Cases::act(Instant, const HoldPlace& a, std::vector<Event>&) {
  Case* c = find(a.inf);
  if (!c || c->final != Final::None) return;
  release(*c, [](const Holding& h) { return h.place; });  // one place an inference
  const int number = c->places++;
  const std::string name = name_ + "." + std::to_string(a.inf) + ".p" + std::to_string(number);
  c->holdings.push_back({a.engine, name, {}, true});
  orders_.push_back(AskPlace{a.inf, a.engine, name, c->id.empty() ? name : c->id, number, newest_send(*c)});
}

void Cases::act(Instant now, const LetGo& a, std::vector<Event>&) {
  Case* c = find(a.inf);
  if (!c) return release_leftover(a.inf, a.though_awaited);
  if (a.though_awaited && whole_) return let_all_go(*c, now);
  release(*c, [](const Holding& h) { return !h.awaited_by; });
  for (Holding& awaited : c->holdings) awaited.unwanted = true;
  const bool nothing_wanted = c->reserved.unwanted() && c->holdings.empty();
  if (a.at_once && nothing_wanted && c->final != Final::Streaming) let_go_now(*c);
  else let_loose_go(a.inf);
}

void Cases::let_all_go(Case& c, Instant now) {
  c.holdings.clear();
  const auto since = c.reserved.reserved_since();
  let_go_now(c, since ? now - *since : Span{});
}

void Cases::act(Instant, const CancelSend& a, std::vector<Event>&) {
  Case* c = find(a.inf);
  if (c && a.send < c->sends.size() && c->sends[a.send].out && !c->sends[a.send].started)
    orders_.push_back(StopSend{a.inf, a.send});
}

void Cases::answer(Case& c, bool shed, Span retry_after) {
  if (c.final != Final::None) return;
  c.final = Final::Given;
  ends_.erase({c.ends, c.what.inf});
  const bool ran =
      std::any_of(c.sends.begin(), c.sends.end(), [](const Sent& s) { return s.ran && s.leg != Leg::Read; });
  orders_.push_back(Answer{c.what.inf, shed, retry_after, !shed && ran});
}
void Cases::act(Instant, const Shed& a, std::vector<Event>&) {
  if (Case* c = find(a.inf)) answer(*c, true, a.retry_after);
}
void Cases::act(Instant, const Fail& a, std::vector<Event>&) {
  if (Case* c = find(a.inf)) answer(*c, false, Span{});
}
void Cases::act(Instant, const SetTimer& a, std::vector<Event>&) {
  orders_.push_back(ArmTimer{a.in, a.token});
}
void Cases::act(Instant, const CloseLinks& a, std::vector<Event>&) { orders_.push_back(DropLinks{a.engine}); }
void Cases::act(Instant, const Log& a, std::vector<Event>&) { orders_.push_back(Line{a.text}); }

void Cases::order_release(const Release& release) {
  if (whole_) return orders_.push_back(release);
  const auto kind = kinds_.find(release.engine);
  if (kind != kinds_.end() && kind->second < release_.size() && release_[kind->second])
    orders_.push_back(release);
}

template <class Which>
void Cases::release(Case& c, Which which) {
  const std::size_t before = c.holdings.size();
  for (const Holding& h : c.holdings)
    if (which(h) && !whole_) order_release({c.what.inf, h.engine, h.name});
  std::erase_if(c.holdings, which);
  if (c.holdings.size() == before) return;
  if (whole_) c.reserved.mark_unwanted(now_);
  else if (c.holdings.empty()) end_named_releases(c);
}

// By name, each one is let go by itself, and nothing tells of it.
void Cases::end_named_releases(Case& c) {
  c.reserved.release_ordered(now_);
  c.reserved.release_ended(Reservations::ReleaseEnd::Taken, settings_.pin_limit, now_);
}

// Where all is let go at once: only while nothing is out or held that is still wanted; once the final answer
// is given nothing is. What a send that is out leaves behind is seen at its end.
void Cases::let_loose_go(InfId inf) {
  Case* c = find(inf);
  if (!c || !c->reserved.unwanted() || !c->holdings.empty()) return;
  if (!c->reserved.may_release(now_)) return;
  const bool answered = c->final == Final::Given && !streams(*c);
  // An attempt that was stopped ends in a moment: a release before that would not touch what it waits for.
  if (c->any_out() && (!answered || (whole_ && c->decode_out()))) return;
  let_go_now(*c);
}

bool Cases::streams(const Case& c) {
  return std::any_of(c.sends.begin(), c.sends.end(), [](const Sent& s) { return s.out && s.started; });
}

void Cases::let_go_now(Case& c, std::optional<Span> reserved_for) {
  if (c.reserved.release_is_out()) return c.reserved.mark_unwanted(now_);
  const EngineId engine = c.sends.empty() ? EngineId{} : c.sends.front().engine;
  const std::size_t unseen_ends = c.reserved.unseen_ends();
  c.reserved.release_ordered(now_);
  order_release({c.what.inf, engine, c.id, reserved_for, unseen_ends});
}

void Cases::look_at_reservations(Instant now, std::vector<Event>& events) {
  at(now);
  const Span limit = settings_.pin_limit;
  if (!whole_ || limit <= Span{}) return;
  for (auto& [inf, c] : cases_) {
    if (const auto due = c.reserved.release_due(limit); due && *due <= now)
      events.push_back(ReservationsDue{inf});
    else if (const auto probe = c.reserved.probe_due(limit); probe && *probe <= now) probe_engines_of(c, now);
  }
  for (const auto& [inf, left] : leftovers_)
    if (const auto due = left.reserved.release_due(limit); due && *due <= now)
      events.push_back(ReservationsDue{inf});
  release_unwanted(now);
}

// What was not to be released before now.
void Cases::release_unwanted(Instant now) {
  std::vector<InfId> due;
  const auto look = [&](InfId inf, const Reservations& reserved) {
    const auto at = reserved.unwanted_release_at();
    if (at && *at > Instant{} && *at <= now) due.push_back(inf);
  };
  for (const auto& [inf, c] : cases_) look(inf, c.reserved);
  for (const auto& [inf, left] : leftovers_) look(inf, left.reserved);
  for (const InfId inf : due) release_what_may_go(inf);
}

void Cases::probe_engines_of(Case& c, Instant now) {
  c.reserved.probed(now);
  if (!settings_.may_probe) return;
  for (const int read : c.reserved.unshown_reads())
    orders_.push_back(ProbeEngine{c.sends[static_cast<std::size_t>(read)].engine});
}

std::optional<Instant> Cases::next_look_at_reservations() const {
  std::optional<Instant> next;
  const Span limit = settings_.pin_limit;
  if (!whole_ || limit <= Span{}) return next;
  const auto look = [&](const std::optional<Instant>& due) {
    if (due) next = std::min(next.value_or(*due), *due);
  };
  const auto look_at = [&](const Reservations& reserved) {
    look(reserved.release_due(limit));
    const auto unwanted = reserved.unwanted_release_at();
    if (unwanted && *unwanted > now_) look(unwanted);
  };
  for (const auto& [inf, c] : cases_) look_at(c.reserved), look(c.reserved.probe_due(limit));
  for (const auto& [inf, left] : leftovers_) look_at(left.reserved);
  return next;
}

void Cases::engine_answered(const EngineId& engine, Instant written) {
  for (auto& [inf, c] : cases_)
    for (const int read : c.reserved.unshown_reads()) {
      const Sent& s = c.sends[static_cast<std::size_t>(read)];
      const bool before = s.written_before && *s.written_before + calls_overtake_within < written;
      if (before && s.engine == engine) c.reserved.read_shown(read);
    }
}

// The end of a case: the final answer is given and nothing is out. What is still held then is let go,
// whatever the module remembered of it (guards rule 5 against what only the sockets know of).
void Cases::settle(InfId inf) {
  Case* c = find(inf);
  if (!c || c->final != Final::Given || c->any_out()) return;
  release(*c, [](const Holding&) { return true; });
  let_loose_go(inf);
  keep_leftover(*c);
  cases_.erase(inf);
  release_leftover(inf, false);
}

void Cases::overdue(Instant now, std::vector<Event>& events) {
  at(now);
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const InfId inf = ends_.begin()->second;
    Case& c = cases_.at(inf);
    answer(c, false, Span{});
    for (std::size_t k = 0; k < c.sends.size(); ++k)
      if (c.sends[k].out) orders_.push_back(StopSend{inf, static_cast<std::uint8_t>(k)});
    release(c, [](const Holding& h) { return !h.awaited_by; });
    events.push_back(ClientLeft{inf});
    settle(inf);
  }
}

void Cases::end_budgets(Instant at) {
  budgets_end_ = at;
  ends_.clear();
  for (auto& [inf, c] : cases_) {
    c.ends = std::min(c.ends, at);
    if (c.final == Final::None) ends_.emplace(c.ends, inf);
  }
}

std::optional<Instant> Cases::next_end() const {
  return ends_.empty() ? std::nullopt : std::optional(ends_.begin()->first);
}

}  // namespace calicograde::front
