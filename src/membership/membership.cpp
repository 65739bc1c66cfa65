#include "membership/membership.hpp"

#include <algorithm>
#include <cstdio>

namespace calicograde::membership {

Membership::Membership(int settings, Rules rules)
    : settings_(std::clamp(settings, 1, rules.most)),
      rules_(rules),
      acting_(settings_),
      present_(settings_) {}

void Membership::roster(Instant, int count, bool listed) {
  // It takes part, whatever the list says yet.
  roster_ = std::clamp(count + (listed ? 0 : 1), 1, rules_.most);
}

void Membership::by_hand(Instant now, int count, Span lasts) {
  hand_ = std::clamp(count, 1, rules_.most);
  hand_ends_ = lasts > Span{} ? std::optional(now + lasts) : std::nullopt;
}
void Membership::no_hand(Instant) { hand_.reset(), hand_ends_.reset(); }

// What is told by hand goes first, then the roster, then the settings.
int Membership::wanted(Instant now) {
  if (hand_ends_ && now >= *hand_ends_) no_hand(now);
  if (hand_) return *hand_;
  return roster_.value_or(settings_);
}

std::pair<int, std::string> Membership::count(Instant now) {
  const int want = present_ = wanted(now);
  if (heard_.empty() || heard_.back().second != want) heard_.emplace_back(now, want);
  heard_.back().first = now;
  while (now - heard_.front().first > rules_.steep_after) heard_.pop_front();
  // The highest that was wanted lately; a steep fall is believed later than a small one. What one sets by
  // hand is meant: it falls after the short time.
  int highest = want;
  for (const auto& [at, told] : heard_) {
    const bool steep = want * 2 < told && !hand_;
    if (now - at <= (steep ? rules_.steep_after : rules_.lower_after)) highest = std::max(highest, told);
  }
  if (highest == acting_) return {acting_, {}};
  char text[160];
  std::snprintf(text, sizeof text, "counts on %d fronts, %d before (settings %d, roster %d, by hand %d)",
                highest, acting_, settings_, roster_.value_or(0), hand_.value_or(0));
  acting_ = highest;
  return {acting_, text};
}

}  // namespace calicograde::membership
