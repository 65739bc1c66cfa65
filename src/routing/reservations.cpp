#include "routing/reservations.hpp"

#include <algorithm>
#include <utility>

namespace calicograde {
namespace {

constexpr int no_number = -1;  // of a call whose attempt or place is over

}  // namespace

std::vector<Reservations::Entry>::iterator Reservations::place(int number) {
  return std::find_if(entries_.begin(), entries_.end(),
                      [&](const Entry& e) { return e.kind == Kind::Place && e.number == number; });
}

Reservations::Attempt* Reservations::find(std::vector<Attempt>& attempts, int number) {
  const auto it =
      std::find_if(attempts.begin(), attempts.end(), [&](const Attempt& a) { return a.number == number; });
  return it == attempts.end() ? nullptr : &*it;
}

bool Reservations::any_known(const std::vector<Attempt>& attempts) {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.known_to_be_out; });
}

bool Reservations::needs_own_answer(const Entry& entry) {
  const bool may_be_a_place = entry.kind == Kind::Place || entry.number == no_number;
  return may_be_a_place && !entry.release_tried;
}

void Reservations::place_asked(int number, Instant now) { entries_.push_back({Kind::Place, number, now}); }

void Reservations::place_answered(int number, PlaceAnswer answer) {
  const auto it = this->place(number);
  if (it == entries_.end()) return;
  if (answer == PlaceAnswer::Refused) {
    entries_.erase(it);
    return;
  }
  it->settled = true;
  it->may_come_later = answer == PlaceAnswer::Unknown;
}

void Reservations::read_ordered(int attempt) { reads_.push_back({attempt}); }

void Reservations::read_shown(int attempt) {
  if (Attempt* read = find(reads_, attempt)) read->known_to_be_out = true;
}

// The limit counts from the end of what was out last.
void Reservations::restart_clock(Instant now) {
  for (Entry& e : entries_) e.since = std::max(e.since, now);
}

void Reservations::read_ended(int attempt, ReadEnd end, bool own_answer, Instant now) {
  const Attempt* read = find(reads_, attempt);
  if (!read) return;
  const bool was_out = own_answer || read->known_to_be_out;
  std::erase_if(reads_, [&](const Attempt& a) { return a.number == attempt; });
  if (was_out) restart_clock(now);
  if (end != ReadEnd::NeverRan)
    entries_.push_back({Kind::State, attempt, now, true, end == ReadEnd::Unknown});
}

void Reservations::decode_ordered(int attempt) {
  decodes_.push_back({attempt});
  for (Entry& e : entries_)
    if (e.settled && !e.fetched_from) e.fetched_from = attempt;
}

void Reservations::decode_answered(int attempt) {
  Attempt* answered = find(decodes_, attempt);
  if (!answered) return;
  answered->known_to_be_out = true;
  const auto states =
      std::count_if(entries_.begin(), entries_.end(), [](const Entry& e) { return e.kind == Kind::State; });
  std::erase_if(entries_, [&](const Entry& e) {
    const bool settled_before = e.fetched_from && *e.fetched_from <= attempt;
    const bool one_of_several = e.kind == Kind::State && states > 1;
    return settled_before && !e.may_come_later && !one_of_several;
  });
  unwanted_ = !entries_.empty();
}

void Reservations::decode_ended(int attempt, bool own_answer, Instant now) {
  const Attempt* ended = find(decodes_, attempt);
  const bool was_out = own_answer || (ended && ended->known_to_be_out);
  end_decode(attempt);
  if (was_out) restart_clock(now);
}

void Reservations::end_decode(int attempt) {
  std::erase_if(decodes_, [&](const Attempt& a) { return a.number == attempt; });
  std::erase_if(unseen_ends_, [&](const UnseenEnd& e) { return e.attempt == attempt; });
  // What a release could not touch before can be released now.
  not_before_ = Instant{};
}

void Reservations::decode_given_up(int attempt, Instant over_by) {
  std::erase_if(decodes_, [&](const Attempt& a) { return a.number == attempt; });
  unseen_ends_.push_back({attempt, over_by});
}

void Reservations::decode_end_seen(int attempt) { end_decode(attempt); }

void Reservations::abandoned_call_taken(Instant now) {
  unwanted_ = true;
  entries_.push_back({Kind::State, no_number, now, true, true});
}

void Reservations::mark_unwanted(Instant now) {
  unwanted_ = true;
  if (entries_.empty()) entries_.push_back({Kind::State, no_number, now, true});
}

void Reservations::release_ordered(Instant now) {
  release_ordered_at_ = now;
  release_out_ = true;
  std::erase_if(unseen_ends_, [&](const UnseenEnd& e) { return e.over_by <= now; });
  const bool waited_for = !decodes_.empty() || !unseen_ends_.empty();
  for (Entry& e : entries_) {
    e.release_tried = e.settled;
    e.ends_with_release = e.settled && !waited_for;
  }
  unwanted_ = false;
}

void Reservations::release_ended(ReleaseEnd end, Span pin_limit, Instant now) {
  if (!std::exchange(release_out_, false)) return;
  const Instant ordered = *release_ordered_at_;
  if (end == ReleaseEnd::Taken) {
    std::erase_if(entries_, [](const Entry& e) { return e.ends_with_release; });
    // What was settled after the order, or is not settled yet, may have come after the release; what an
    // attempt waited for may be waited for no more since.
    for (Entry& e : entries_) e.since = std::max(e.since, ordered);
  }
  const bool left =
      std::any_of(entries_.begin(), entries_.end(), [](const Entry& e) { return e.release_tried; });
  if (end == ReleaseEnd::NotTaken) not_before_ = now + pin_limit * release_again_part;
  else if (left) not_before_ = ordered + release_due_after(pin_limit);
  unwanted_ = unwanted_ || left;
}

std::optional<Instant> Reservations::unwanted_release_at() const {
  if (!unwanted_ || release_out_) return std::nullopt;
  return not_before_;
}

std::optional<Instant> Reservations::reserved_since() const {
  if (any_known(decodes_)) return std::nullopt;
  std::optional<Instant> since = shown_by_its_engine_since();
  for (const Entry& e : entries_)
    if (needs_own_answer(e)) since = std::min(since.value_or(e.since), e.since);
  return since;
}

// Of what an answer of its engine is enough for.
std::optional<Instant> Reservations::shown_by_its_engine_since() const {
  if (any_known(decodes_) || any_known(reads_)) return std::nullopt;
  std::optional<Instant> since;
  for (const Entry& e : entries_)
    if (!needs_own_answer(e)) since = std::min(since.value_or(e.since), e.since);
  return since;
}

std::optional<Instant> Reservations::release_due(Span pin_limit) const {
  const auto since = reserved_since();
  if (!since || release_is_out()) return std::nullopt;
  return std::max(*since + release_due_after(pin_limit), not_before_);
}

std::optional<Instant> Reservations::probe_due(Span pin_limit) const {
  const auto since = shown_by_its_engine_since();
  if (!since || release_is_out() || reads_.empty()) return std::nullopt;
  return std::max(*since + pin_limit * probe_due_part, probed_at_ + pin_limit * probe_again_part);
}

std::vector<int> Reservations::unshown_reads() const {
  std::vector<int> out;
  for (const Attempt& read : reads_)
    if (!read.known_to_be_out) out.push_back(read.number);
  return out;
}

}  // namespace calicograde
