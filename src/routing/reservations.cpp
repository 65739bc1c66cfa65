#include "routing/reservations.hpp"

#include <algorithm>
#include <utility>

namespace calicograde {
namespace {

constexpr int no_number = -1;  // of a call whose attempt or place is over

}  // namespace

std::vector<Reservations::Entry>::iterator Reservations::entry(Kind kind, int number) {
  return std::find_if(entries_.begin(), entries_.end(),
                      [&](const Entry& e) { return e.kind == kind && e.number == number; });
}

Reservations::Decode* Reservations::decode(int attempt) {
  const auto it =
      std::find_if(decodes_.begin(), decodes_.end(), [&](const Decode& d) { return d.number == attempt; });
  return it == decodes_.end() ? nullptr : &*it;
}

bool Reservations::attempt_is_out() const {
  return std::any_of(decodes_.begin(), decodes_.end(), [](const Decode& d) { return d.answered; });
}

void Reservations::place_asked(int place, Instant now) { entries_.push_back({Kind::Place, place, now}); }

void Reservations::place_answered(int place, PlaceAnswer answer, Instant now) {
  const auto it = entry(Kind::Place, place);
  if (it == entries_.end()) return;
  if (answer == PlaceAnswer::Refused) {
    entries_.erase(it);
    return;
  }
  it->settled_at = now;
  it->may_come_later = answer == PlaceAnswer::Unknown;
}

void Reservations::read_ordered(int attempt, Instant now) {
  entries_.push_back({Kind::ReadOut, attempt, now});
}

// The limit counts from the end of what was out last.
void Reservations::restart_clock(Instant now) {
  for (Entry& e : entries_) e.since = std::max(e.since, now);
}

void Reservations::read_ended(int attempt, ReadEnd end, bool own_answer, Instant now) {
  const auto it = entry(Kind::ReadOut, attempt);
  if (it == entries_.end()) return;
  const Instant since = it->since;
  entries_.erase(it);
  if (own_answer) restart_clock(now);
  switch (end) {
    case ReadEnd::NeverRan: break;
    case ReadEnd::StateKept: entries_.push_back({Kind::State, attempt, now, now}); break;
    case ReadEnd::Unknown: entries_.push_back({Kind::State, attempt, since, now, true}); break;
  }
}

void Reservations::decode_ordered(int attempt, Instant now) { decodes_.push_back({attempt, now}); }

void Reservations::decode_answered(int attempt) {
  Decode* answered = decode(attempt);
  if (!answered) return;
  answered->answered = true;
  const Instant ordered = answered->ordered;
  const auto states =
      std::count_if(entries_.begin(), entries_.end(), [](const Entry& e) { return e.kind == Kind::State; });
  std::erase_if(entries_, [&](const Entry& e) {
    const bool settled_before = e.settled_at && *e.settled_at <= ordered;
    const bool one_of_several = e.kind == Kind::State && states > 1;
    return settled_before && !e.may_come_later && !one_of_several;
  });
  const auto left = [](const Entry& e) { return e.kind != Kind::ReadOut; };
  unwanted_ = std::any_of(entries_.begin(), entries_.end(), left);
}

void Reservations::decode_ended(int attempt, bool own_answer, Instant now) {
  const Decode* ended = decode(attempt);
  const bool was_out = own_answer || (ended && ended->answered);
  std::erase_if(decodes_, [&](const Decode& d) { return d.number == attempt; });
  if (was_out) restart_clock(now);
}

void Reservations::abandoned_call_taken(Instant now) {
  unwanted_ = true;
  entries_.push_back({Kind::State, no_number, now, now, true});
}

void Reservations::mark_unwanted(Instant now) {
  unwanted_ = true;
  if (entries_.empty()) entries_.push_back({Kind::State, no_number, now, now});
}

void Reservations::release_ordered(Instant now) {
  release_ordered_at_ = now;
  release_out_ = true;
  unwanted_ = false;
}

void Reservations::release_ended(ReleaseEnd end, Span pin_limit, Instant now) {
  if (!std::exchange(release_out_, false)) return;
  const Instant ordered = *release_ordered_at_;
  if (end == ReleaseEnd::NotTaken) {
    not_before_ = now + pin_limit * release_again_part;
    return;
  }
  // What was settled after the order, or is not settled yet, may have come after the release.
  std::erase_if(entries_, [&](const Entry& e) { return e.settled_at && *e.settled_at <= ordered; });
  for (Entry& e : entries_) e.since = std::max(e.since, ordered);
}

std::optional<Instant> Reservations::reserved_since(bool surely) const {
  if (attempt_is_out()) return std::nullopt;
  std::optional<Instant> since;
  for (const Entry& e : entries_) {
    if (surely && e.kind == Kind::ReadOut) continue;
    since = std::min(since.value_or(e.since), e.since);
  }
  return since;
}

std::optional<Instant> Reservations::release_due(Span pin_limit) const {
  const auto since = reserved_since(false);
  if (!since || release_is_out()) return std::nullopt;
  return std::max(*since + pin_limit * release_due_part, not_before_);
}

}  // namespace calicograde
