#include "halls/halls.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace calicograde::halls {
namespace {

constexpr Span look_every = Span::millis(300);
constexpr std::size_t looks_at_once = 3, losses_kept = 8;
constexpr std::size_t enough_there = 3;  // seen there by looks, or all where it has fewer
constexpr int failures_silent = 2;       // a silence may be one lost packet; a refusal is not
constexpr double jitter = 0.3;

}  // namespace

Halls::Halls(Rules rules, std::vector<std::string> names, std::uint8_t own, std::uint64_t seed)
    : rules_(rules), names_(std::move(names)), own_(own), chance_(static_cast<std::uint32_t>(seed)) {}

const std::string& Halls::name(std::uint8_t hall) const {
  static const std::string unknown = "?";
  return hall < names_.size() ? names_[hall] : unknown;
}

State Halls::state(std::uint8_t hall) const {
  const auto it = halls_.find(hall);
  return it == halls_.end() ? State::Up : it->second.state;
}

bool Halls::withheld(const EngineId& engine) const {
  const auto it = boxes_.find(engine);
  return it != boxes_.end() && !it->second.admitted;
}

// What the module is told of an engine: the roster's word, but that it drains while it is withheld, and that
// it is fresh where it came back from being refused.
EngineEntry Halls::entry_of(const Box& b) const {
  EngineEntry e = b.entry;
  if ((!b.admitted || by_hand_.contains(e.engine)) && e.lifecycle == Lifecycle::Ready)
    e.lifecycle = Lifecycle::Draining;
  if (b.fresh && (!e.started || *e.started < *b.fresh)) e.started = b.fresh;
  return e;
}

std::vector<Step> Halls::listed(Instant now, const FleetListed& list) {
  FleetListed out = list;
  version_ = std::max(version_, list.version);
  std::set<EngineId> named;
  for (EngineEntry& e : out.entries) {
    Box& b = boxes_[e.engine];
    named.insert(e.engine);
    Hall& h = halls_[e.zone];
    const bool restarted = b.entry.engine == e.engine && b.entry.started != e.started;
    const bool fresh_box = b.entry.engine != e.engine;
    b.entry = e;
    if (restarted) {
      // Another process: what the old one did or did not answer says nothing of it.
      b.failures = 0, b.failed.reset(), b.refused_at.reset(), b.fresh.reset();
    }
    if (fresh_box || h.state == State::Up) b.admitted = h.state == State::Up && !h.by_hand;
    // In a hall that is lost, a box that the roster has started anew is a sign that it is back.
    if (restarted && h.state == State::Lost && e.lifecycle == Lifecycle::Ready) h.there.insert(e.engine);
    e = entry_of(b);
  }
  // What has gone is forgotten, unless its hall is out: there its return is a sign.
  std::erase_if(boxes_, [&](const auto& b) {
    return b.second.entry.lifecycle == Lifecycle::Gone && halls_[b.second.entry.zone].state == State::Up;
  });
  if (list.scope != ListScope::Delta && list.scope != ListScope::Failed)
    std::erase_if(boxes_, [&](const auto& b) { return !named.contains(b.first); });
  steps_.push_back(Tell{std::move(out)});
  judge(now);
  return done();
}

bool Halls::looks_lost(const Box& b, Instant now) const {
  if (!b.failed || now - *b.failed > rules_.window || (b.answered && *b.answered >= *b.failed)) return false;
  return b.refused_at ? true : b.failures >= failures_silent;
}
bool Halls::looks_alive(const Box& b, Instant now) const {
  return b.answered && now - *b.answered <= rules_.window && (!b.failed || *b.answered >= *b.failed);
}

Halls::Count Halls::count(std::uint8_t hall, Instant now) const {
  Count c;
  for (const auto& [id, b] : boxes_) {
    if (b.entry.zone != hall || b.entry.lifecycle == Lifecycle::Gone) continue;
    ++c.all;
    const bool lost = looks_lost(b, now);
    c.lost += lost, c.tried += lost || looks_alive(b, now);
  }
  return c;
}

bool Halls::judged_lost(const Count& c) const {
  const std::size_t least = std::min(rules_.least_lost, std::max<std::size_t>(1, c.all));
  return c.lost >= least && static_cast<double>(c.lost) >=
                                rules_.lost_share * static_cast<double>(std::max<std::size_t>(1, c.tried));
}

std::vector<Step> Halls::met(Instant now, const EngineId& engine, Sign sign) {
  const auto it = boxes_.find(engine);
  if (it == boxes_.end()) return {};
  Box& b = it->second;
  Hall& h = halls_[b.entry.zone];
  if (sign == Sign::Answered) {
    // Refused a while ago and there now: it is another process, whatever the roster says yet.
    if (b.refused_at && !(b.entry.started && *b.entry.started > *b.refused_at)) b.fresh = now;
    b.answered = now, b.failures = 0, b.refused_at.reset();
    if (h.state == State::Lost) h.there.insert(engine);
  } else if (sign != Sign::Broken || b.failed) {
    // A connection that breaks is what every restart of one engine looks like: alone it says nothing.
    b.failed = now, ++b.failures;
    if (sign == Sign::Refused) b.refused_at = now;
    h.there.erase(engine);
  }
  judge(now);
  return done();
}

void Halls::judge(Instant now) {
  if (!rules_.on) return;
  // All at once, and not by hand: more likely this front's own link.
  std::size_t lost = 0, up = 0;
  std::map<std::uint8_t, Count> counts;
  for (const auto& [hall, h] : halls_) {
    const Count c = counts[hall] = count(hall, now);
    if (h.state == State::Lost || c.all == 0) continue;
    ++up, lost += judged_lost(c);
  }
  const bool cut = up > 0 && lost == up;
  if (cut != cut_off_) {
    cut_off_ = cut;
    char text[160];
    std::snprintf(
        text, sizeof text,
        cut ? "every hall that answered looks lost (%zu): this front may be cut off, nothing is held out"
            : "a hall answers again: this front is not cut off (%zu look lost)",
        lost);
    steps_.push_back(Note{text});
  }
  if (cut) return;
  for (auto& [hall, h] : halls_) {
    const Count& c = counts[hall];
    if (h.state == State::Up && judged_lost(c)) lose(now, hall, c, "lost");
    else if (h.state == State::Returning && judged_lost(c)) lose(now, hall, c, "lost again");
  }
}

// Out for longer each time it is lost again within a while, and not for all fronts equally long.
Span Halls::hold_of(const Hall& h, Instant now) const {
  const auto recent = std::count_if(h.losses.begin(), h.losses.end(),
                                    [&](Instant t) { return now - t <= rules_.flap_memory; });
  return std::min(
      rules_.most_hold,
      rules_.first_hold * std::pow(2.0, static_cast<double>(std::max<std::ptrdiff_t>(0, recent - 1))));
}

void Halls::lose(Instant now, std::uint8_t hall, const Count& c, const char* why) {
  Hall& h = halls_[hall];
  h.losses.push_back(now);
  if (h.losses.size() > losses_kept) h.losses.erase(h.losses.begin());
  h.state = State::Lost, h.since = h.lost_at = now, h.share = 0, h.there.clear();
  std::size_t refused = 0;
  const double late = 1 + jitter * std::uniform_real_distribution<double>()(chance_);
  h.looks_at = now + hold_of(h, now) * late;
  withhold(hall);
  for (const auto& [id, b] : boxes_) refused += b.entry.zone == hall && looks_lost(b, now) && b.refused_at;
  h.refused = refused * 2 >= c.lost;
  char text[240];
  std::snprintf(text, sizeof text,
                "hall %s %s: %zu of %zu engines with signs look lost (%zu listed); tried again in %.0f ms%s",
                name(hall).c_str(), why, c.lost, c.tried, c.all, (h.looks_at - now).as_millis(),
                hall == own_ ? "; it is this front's own" : "");
  steps_.push_back(Note{text});
  tell_hall(hall);
}

void Halls::withhold(std::uint8_t hall) {
  for (auto& [id, b] : boxes_)
    if (b.entry.zone == hall) b.admitted = false;
}

void Halls::tell_hall(std::uint8_t hall) {
  FleetListed list;
  list.scope = ListScope::Delta, list.version = version_;
  for (const auto& [id, b] : boxes_)
    if (b.entry.zone == hall) list.entries.push_back(entry_of(b));
  if (!list.entries.empty()) steps_.push_back(Tell{std::move(list)});
}

void Halls::look(Instant now, std::uint8_t hall) {
  Hall& h = halls_[hall];
  h.looks_at = now + look_every;
  std::vector<EngineId> all;
  for (const auto& [id, b] : boxes_)
    if (b.entry.zone == hall && b.entry.lifecycle == Lifecycle::Ready && !h.there.contains(id))
      all.push_back(id);
  std::shuffle(all.begin(), all.end(), chance_);
  all.resize(std::min(all.size(), looks_at_once));
  for (const EngineId& id : all) steps_.push_back(Look{id});
}

// Enough of it is there: the first stage of its return.
void Halls::try_again(Instant now, std::uint8_t hall) {
  Hall& h = halls_[hall];
  h.state = State::Returning, h.since = now, h.share = rules_.first_stage;
  admit(now, hall);
  char text[200];
  std::snprintf(text, sizeof text, "hall %s returns: %zu engines seen there; %.0f%% of it let in",
                name(hall).c_str(), h.there.size(), h.share * 100);
  steps_.push_back(Note{text});
  tell_hall(hall);
}

// Those seen there first; the order is each front's own, so that not all begin with the same engines. Where
// the hall's processes were gone, all of them count as fresh, whether or not each was seen to be refused
// (rule 4).
void Halls::admit(Instant now, std::uint8_t hall) {
  Hall& h = halls_[hall];
  std::vector<EngineId> rest;
  std::size_t all = 0, in = 0;
  for (const auto& [id, b] : boxes_)
    if (b.entry.zone == hall && b.entry.lifecycle == Lifecycle::Ready)
      ++all, b.admitted ? void(++in) : rest.push_back(id);
  std::shuffle(rest.begin(), rest.end(), chance_);
  std::stable_partition(rest.begin(), rest.end(), [&](const EngineId& id) { return h.there.contains(id); });
  const auto wanted = static_cast<std::size_t>(std::ceil(h.share * static_cast<double>(all)));
  for (std::size_t k = 0; k < rest.size() && in < wanted; ++k, ++in) {
    Box& b = boxes_[rest[k]];
    b.admitted = true;
    if (h.refused && !b.fresh && !(b.entry.started && *b.entry.started >= h.lost_at)) b.fresh = now;
  }
}

void Halls::advance(Instant now, std::uint8_t hall) {
  Hall& h = halls_[hall];
  if (now - h.since < rules_.stage) return;
  h.since = now, h.share = std::min(1.0, h.share * 2);
  admit(now, hall);
  if (h.share >= 1) {
    h.state = State::Up;
    for (auto& [id, b] : boxes_)
      if (b.entry.zone == hall) b.admitted = true;
    steps_.push_back(Note{"hall " + name(hall) + " is back whole"});
  }
  tell_hall(hall);
}

std::vector<Step> Halls::tick(Instant now) {
  if (!rules_.on) return {};
  for (auto& [hall, h] : halls_) {
    if (h.by_hand) continue;
    if (h.state == State::Lost && now >= h.looks_at) {
      std::size_t ready = 0;
      for (const auto& [id, b] : boxes_)
        ready += b.entry.zone == hall && b.entry.lifecycle == Lifecycle::Ready;
      if (ready == 0) h.looks_at = now + look_every;  // the roster has it all gone
      else if (h.there.size() >= std::min(enough_there, ready)) try_again(now, hall);
      else look(now, hall);
    } else if (h.state == State::Returning) {
      advance(now, hall);
    }
  }
  judge(now);
  return done();
}

std::vector<Step> Halls::hold_out(Instant now, std::uint8_t hall, bool out) {
  Hall& h = halls_[hall];
  if (h.by_hand == out) return {};
  h.by_hand = out;
  if (out) {
    h.state = State::Lost, h.since = now, h.there.clear();
    withhold(hall);
    steps_.push_back(Note{"hall " + name(hall) + " is held out by hand"});
    tell_hall(hall);
  } else {
    h.looks_at = now;
    steps_.push_back(Note{"hall " + name(hall) + " may return; it is looked at first"});
  }
  return done();
}

bool Halls::held_by_hand(std::uint8_t hall) const {
  const auto it = halls_.find(hall);
  return it != halls_.end() && it->second.by_hand;
}

std::vector<Step> Halls::hold_engine(const EngineId& engine, bool out) {
  const bool changed = out ? by_hand_.insert(engine).second : by_hand_.erase(engine) > 0;
  if (!changed) return {};
  char text[96];
  std::snprintf(text, sizeof text, "engine %d.%d.%d.%d:%d is %s by hand", engine.address[0],
                engine.address[1], engine.address[2], engine.address[3], engine.port,
                out ? "held out" : "let in again");
  steps_.push_back(Note{text});
  if (const auto it = boxes_.find(engine); it != boxes_.end()) {
    FleetListed list;
    list.scope = ListScope::Delta, list.version = version_;
    list.entries.push_back(entry_of(it->second));
    steps_.push_back(Tell{std::move(list)});
  }
  return done();
}

}  // namespace calicograde::halls
