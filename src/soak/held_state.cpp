#include "soak/held_state.hpp"

#include <algorithm>

#include "net/clock.hpp"

namespace calicograde::soak {

using net::clock_now;

void HeldState::read_begins(const std::string& id) {
  const std::lock_guard lock(mutex_);
  reading_.insert(id);
}

void HeldState::read_ends(const std::string& id) {
  const std::lock_guard lock(mutex_);
  if (const auto it = reading_.find(id); it != reading_.end()) reading_.erase(it);
}

// The journal counts engines at which something is held, not how much.
void HeldState::hold_at(const std::string& id, std::set<std::size_t>& which, std::size_t engine) {
  const bool before = held_[id].holds_at(engine);
  which.insert(engine);
  if (!before) journal_.add(HoldBegan{id, engine, clock_now()});
}

void HeldState::drop_at(const std::string& id, std::set<std::size_t>& which, std::size_t engine) {
  which.erase(engine);
  if (!held_[id].holds_at(engine)) journal_.add(HoldEnded{id, engine, clock_now()});
}

void HeldState::tidy(const std::string& id) {
  if (held_[id].empty()) held_.erase(id);
}

void HeldState::hold(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  hold_at(id, held_[id].states, engine);
}

bool HeldState::ask_place(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  if (place_answers_ == PlaceAnswers::WhileReading && !reading_.contains(id)) return false;
  hold_at(id, held_[id].places, engine);
  return place_answers_ != PlaceAnswers::HeldUnknown;
}

bool HeldState::attempt_begins(const std::string& id, std::size_t engine, std::uint64_t attempt) {
  const std::lock_guard lock(mutex_);
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.states.empty()) return false;
  it->second.attempts[attempt] = engine;
  return true;
}

// "`FirstByte` releases the rest."
void HeldState::first_token(const std::string& id, std::uint64_t attempt) {
  const std::lock_guard lock(mutex_);
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  Held& held = it->second;
  held.attempts.erase(attempt);
  while (!held.states.empty()) drop_at(id, held.states, *held.states.begin());
  while (!held.places.empty()) drop_at(id, held.places, *held.places.begin());
  tidy(id);
}

void HeldState::attempt_ends(const std::string& id, std::uint64_t attempt) {
  const std::lock_guard lock(mutex_);
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  it->second.attempts.erase(attempt);
  tidy(id);
}

// "This lets go of every state and place that is held for the request and that no attempt waits for."
void HeldState::release(const std::string& id) {
  ++releases_;
  const std::lock_guard lock(mutex_);
  const auto it = held_.find(id);
  if (it == held_.end()) return;
  Held& held = it->second;
  const auto waited_for_at = [&](std::size_t engine) {
    return std::any_of(held.attempts.begin(), held.attempts.end(),
                       [&](const auto& attempt) { return attempt.second == engine; });
  };
  const std::set<std::size_t> places = held.places;
  for (const std::size_t engine : places)
    if (!waited_for_at(engine)) drop_at(id, held.places, engine);
  while (held.attempts.empty() && !held.states.empty()) drop_at(id, held.states, *held.states.begin());
  tidy(id);
}

void HeldState::forget_engine(std::size_t engine) {
  const std::lock_guard lock(mutex_);
  std::set<std::string> ids;
  for (const auto& [id, held] : held_)
    if (held.holds_at(engine)) ids.insert(id);
  for (const std::string& id : ids) {
    Held& held = held_[id];
    if (held.states.contains(engine)) drop_at(id, held.states, engine);
    if (held.places.contains(engine)) drop_at(id, held.places, engine);
    tidy(id);
  }
}

}  // namespace calicograde::soak
