#pragma once

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "core/time.hpp"

// How many fronts there are, as one of them acts on it. Fronts share no decisions, but the budget of a cold
// engine (rule 4) and what the others are taken to book follow from their number. Sources may disagree, be
// late or flap: this one errs towards more fronts, which is what a cold engine survives. Free of I/O and
// clocks; not thread-safe. docs/fleet.md.
namespace calicograde::membership {

struct Rules {
  int most = 100000;
  Span lower_after =
      Span::millis(30000);  // a lower count is acted on once nothing higher was heard for so long
  Span steep_after = Span::millis(120000);  // the same where it falls below half: more likely a broken list
};

class Membership {
 public:
  // `settings`: the count that the settings tell; what stands until a source is heard, and if none is left.
  Membership(int settings, Rules rules);

  // The roster lists so many fronts; `listed`: this one among them. A roster without fronts says nothing.
  void roster(Instant now, int count, bool listed);
  // Set by hand, for so long (zero = until it is taken back).
  void by_hand(Instant now, int count, Span lasts);
  void no_hand(Instant now);

  // The count to act on now towards cold engines; present() is the one for all else: what others are taken to
  // book must not stand on fronts that are gone (found when 200 became 3, and those shed a third of their
  // work for the load of the rest). A line for the log where it changed; empty else.
  std::pair<int, std::string> count(Instant now);

  int acting() const { return acting_; }
  int present() const { return present_; }
  std::optional<int> told_by_roster() const { return roster_; }
  std::optional<int> told_by_hand() const { return hand_; }
  int told_by_settings() const { return settings_; }

 private:
  int wanted(Instant now);

  const int settings_;
  const Rules rules_;
  std::optional<int> roster_, hand_;
  std::optional<Instant> hand_ends_;
  int acting_, present_;
  std::deque<std::pair<Instant, int>> heard_;  // what was wanted, and until when; the last ones
};

}  // namespace calicograde::membership
