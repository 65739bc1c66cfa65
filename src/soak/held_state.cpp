#include "soak/held_state.hpp"

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

void HeldState::hold(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  states_.insert(id);
  if (held_[id].insert(engine).second) journal_.add(HoldBegan{id, engine, clock_now()});
}

bool HeldState::ask_place(const std::string& id, std::size_t engine) {
  const std::lock_guard lock(mutex_);
  if (place_answers_ == PlaceAnswers::WhileReading && !reading_.contains(id)) return false;
  if (held_[id].insert(engine).second) journal_.add(HoldBegan{id, engine, clock_now()});
  return place_answers_ != PlaceAnswers::HeldUnknown;
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

}  // namespace calicograde::soak
