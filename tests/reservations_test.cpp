// What is reserved for a request: single rules, and every interleaving of a bounded model.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "reservations_model.hpp"

namespace calicograde::test {
namespace {

using PlaceAnswer = Reservations::PlaceAnswer;
using ReadEnd = Reservations::ReadEnd;
using ReleaseEnd = Reservations::ReleaseEnd;

Instant at(int ms) { return Instant::at(Span::millis(ms)); }
const Span limit = Span::millis(500);
const Span due_after = limit * release_due_part;

TEST(Reservations, AGrantedPlaceDoesNotStopTheClock) {
  Reservations r;
  r.read_ordered(0);
  r.place_asked(0, at(1));
  r.place_answered(0, PlaceAnswer::Granted);
  EXPECT_EQ(r.release_due(limit), at(1) + due_after);
  EXPECT_EQ(r.reserved_since(), at(1));
}

// Another call's answer proves nothing of a read that a silent connection has swallowed.
TEST(Reservations, APlaceIsReleasedThoughTheEngineOfItsReadHasAnsweredALaterCall) {
  Reservations r;
  r.read_ordered(0);
  r.place_asked(0, at(1));
  EXPECT_FALSE(r.probe_due(limit));
  r.read_shown(0);
  EXPECT_EQ(r.release_due(limit), at(1) + due_after);
}

TEST(Reservations, WhatEarlierAttemptsLeftWaitsForAReadWhoseEngineHasAnsweredALaterCall) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::Unknown, false, at(1));
  r.read_ordered(1);
  EXPECT_EQ(r.probe_due(limit), at(1) + limit * probe_due_part);
  r.probed(at(201));
  EXPECT_EQ(r.probe_due(limit), at(201) + limit * probe_again_part);
  EXPECT_EQ(r.unshown_reads(), std::vector<int>{1});
  r.read_shown(1);
  EXPECT_FALSE(r.release_due(limit));
  EXPECT_FALSE(r.probe_due(limit));
  EXPECT_TRUE(r.unshown_reads().empty());
  r.read_ended(1, ReadEnd::Unknown, false, at(2000));
  EXPECT_EQ(r.release_due(limit), at(2000) + due_after);
}

TEST(Reservations, ARefusedPlaceIsNone) {
  Reservations r;
  r.place_asked(0, at(1));
  r.place_answered(0, PlaceAnswer::Refused);
  EXPECT_FALSE(r.release_due(limit));
}

TEST(Reservations, AnAttemptIsOutOnceItsOwnAnswerHasBegun) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.decode_ordered(1);
  EXPECT_EQ(r.release_due(limit), at(100) + due_after);
  r.decode_answered(1);
  EXPECT_FALSE(r.release_due(limit));
  r.decode_ended(1, true, at(900));
  EXPECT_FALSE(r.release_due(limit));
  EXPECT_FALSE(r.unwanted());
}

TEST(Reservations, ARefusalIsAnAnswerAndAnEndWithoutOneIsNone) {
  for (const bool own_answer : {true, false}) {
    Reservations r;
    r.read_ordered(0);
    r.read_ended(0, ReadEnd::StateKept, true, at(100));
    r.decode_ordered(1);
    r.decode_ended(1, own_answer, at(300));
    EXPECT_EQ(r.release_due(limit), at(own_answer ? 300 : 100) + due_after) << own_answer;
  }
}

TEST(Reservations, APlaceThatIsGrantedAfterTheFetchIsReleasedAfterTheStream) {
  Reservations r;
  r.read_ordered(0);
  r.place_asked(0, at(1));
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.decode_ordered(1);
  r.place_answered(0, PlaceAnswer::Granted);
  r.decode_answered(1);
  EXPECT_TRUE(r.unwanted());
  r.decode_ended(1, true, at(500));
  EXPECT_EQ(r.release_due(limit), at(500) + due_after);
}

TEST(Reservations, AReleaseEndsWhatWasSettledBeforeItAndNothingElse) {
  Reservations r;
  r.read_ordered(0);
  r.place_asked(0, at(1));
  r.place_answered(0, PlaceAnswer::Unknown);
  r.place_asked(1, at(310));
  r.release_ordered(at(400));
  r.read_ended(0, ReadEnd::StateKept, true, at(405));
  r.release_ended(ReleaseEnd::Taken, limit, at(410));
  EXPECT_EQ(r.count(), 2u);  // the state, which may have come after it, and the second place
  EXPECT_EQ(r.reserved_since(), at(405));
}

TEST(Reservations, AReleaseThatWasNotTakenIsDueAgain) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.release_ordered(at(500));
  r.release_ended(ReleaseEnd::NotTaken, limit, at(520));
  EXPECT_EQ(r.release_due(limit), at(520) + limit * release_again_part);
  EXPECT_TRUE(r.release_tried_since(at(100)));
}

TEST(Reservations, WhatAnAbandonedCallLeavesOutlastsTheFetch) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.decode_ordered(1);
  r.abandoned_call_taken(at(101));
  r.decode_answered(1);
  EXPECT_TRUE(r.unwanted());
}

TEST(Reservations, AReleaseEndsNothingThatAnAttemptMayWaitFor) {
  for (const bool given_up : {false, true}) {
    Reservations r;
    r.read_ordered(0);
    r.read_ended(0, ReadEnd::StateKept, true, at(100));
    r.decode_ordered(1);
    if (given_up) r.decode_given_up(1, at(9000));
    r.release_ordered(at(500));
    r.release_ended(ReleaseEnd::Taken, limit, at(510));
    EXPECT_EQ(r.count(), 1u);
    EXPECT_TRUE(r.unwanted());
    EXPECT_FALSE(r.may_release(at(511)));
    EXPECT_EQ(r.release_due(limit), at(500) + due_after);
  }
}

TEST(Reservations, AReleaseMayGoAtOnceWhenTheEndOfAnAttemptIsSeen) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.decode_ordered(1);
  r.decode_given_up(1, at(9000));
  r.release_ordered(at(500));
  r.release_ended(ReleaseEnd::Taken, limit, at(510));
  r.decode_end_seen(1);
  EXPECT_TRUE(r.may_release(at(511)));
  EXPECT_EQ(r.unwanted_release_at(), Instant{});
  r.release_ordered(at(511));
  r.release_ended(ReleaseEnd::Taken, limit, at(515));
  EXPECT_EQ(r.count(), 0u);
}

TEST(Reservations, AnEndThatIsNeverSeenIsTakenForOverInTheEnd) {
  Reservations r;
  r.read_ordered(0);
  r.read_ended(0, ReadEnd::StateKept, true, at(100));
  r.decode_ordered(1);
  r.decode_given_up(1, at(1000));
  for (const auto& [ordered, left] : {std::pair{500, 1u}, {900, 1u}, {1300, 0u}}) {
    r.release_ordered(at(ordered));
    r.release_ended(ReleaseEnd::Taken, limit, at(ordered + 5));
    EXPECT_EQ(r.count(), left) << ordered;
  }
}

// Every interleaving. More ticks and calls by hand: CALICOGRADE_MODEL_TICKS.
int ticks(int usual) {
  const char* told = std::getenv("CALICOGRADE_MODEL_TICKS");
  return told ? std::atoi(told) : usual;
}

TEST(ReservationsModel, NothingOutlivesTheLimitWithOneRead) {
  Bounds bounds;
  bounds.reads = 1;
  bounds.reads_swallowed = true;
  bounds.ticks = ticks(11);
  Model<Reservations> model(bounds);
  EXPECT_EQ(model.explore(), "") << model.states();
  EXPECT_GT(model.states(), 10000u);
  RecordProperty("states", static_cast<int>(model.states()));
  std::printf("%zu states, %d ticks\n", model.states(), bounds.ticks);
}

TEST(ReservationsModel, NothingOutlivesTheLimitWithASecondCopyOfTheReadAndAPlace) {
  Bounds bounds;
  bounds.decodes = 0, bounds.client_leaves = false;
  bounds.ticks = ticks(7);
  Model<Reservations> model(bounds);
  EXPECT_EQ(model.explore(), "") << model.states();
  std::printf("%zu states, %d ticks\n", model.states(), bounds.ticks);
}

TEST(ReservationsModel, NothingOutlivesTheLimitWithASecondCopyOfTheReadAndTwoDecodeAttempts) {
  Bounds bounds;
  bounds.decodes = 2, bounds.places = false, bounds.client_leaves = false;
  bounds.ticks = ticks(7);
  Model<Reservations> model(bounds);
  EXPECT_EQ(model.explore(), "") << model.states();
  std::printf("%zu states, %d ticks\n", model.states(), bounds.ticks);
}

// The rules before, for the model alone: an attempt that is given up has ended, and a release that was
// answered has ended all that was settled before it, whoever waits for it.
template <bool releases_cover_attempts>
class EndsAreBelieved : public Reservations {
 public:
  void decode_ordered(int attempt) { out_.push_back(attempt), Reservations::decode_ordered(attempt); }
  void decode_given_up(int attempt, Instant) { decode_ended(attempt, false, Instant{}); }
  void decode_end_seen(int) {}
  void decode_ended(int attempt, bool own_answer, Instant now) {
    std::erase(out_, attempt);
    Reservations::decode_ended(attempt, own_answer, now);
  }
  void release_ordered(Instant now) {
    if (releases_cover_attempts)
      for (const int attempt : out_) Reservations::decode_ended(attempt, false, now);
    Reservations::release_ordered(now);
    if (releases_cover_attempts)
      for (const int attempt : out_) Reservations::decode_ordered(attempt);
  }
  auto operator<=>(const EndsAreBelieved&) const = default;

 private:
  std::vector<int> out_;
};

// The rules before those, for the model alone: a flag of the newest read says that its place is in doubt, a
// grant clears it, and a first token ends everything.
class FlagOfTheNewestRead {
 public:
  void place_asked(int, Instant now) { place_of_ = newest_, asked_at_ = now, in_doubt_ = true, ++count_; }
  void place_answered(int, PlaceAnswer answer) {
    if (answer != PlaceAnswer::Unknown) in_doubt_ = false;
    if (answer == PlaceAnswer::Refused) --count_;
  }
  void read_ordered(int attempt) { newest_ = attempt, newest_out_ = true; }
  void read_ended(int attempt, ReadEnd end, bool, Instant now) {
    if (attempt == newest_) newest_out_ = false;
    if (end == ReadEnd::StateKept) ++count_, held_since_ = now;
  }
  void read_shown(int) {}
  void decode_ordered(int) {}
  void decode_answered(int) { count_ = 0, unwanted_ = false, held_since_.reset(), streams_ = true; }
  void decode_ended(int, bool, Instant) { streams_ = false; }
  void abandoned_call_taken(Instant now) { mark_unwanted(now); }
  void mark_unwanted(Instant) { unwanted_ = true; }
  void release_ordered(Instant) { unwanted_ = false; }
  void release_ended(ReleaseEnd, Span, Instant) { count_ = 0, held_since_.reset(), in_doubt_ = false; }
  bool unwanted() const { return unwanted_; }
  int count() const { return count_; }
  std::optional<Instant> release_due(Span pin_limit) const {
    if (streams_) return std::nullopt;
    if (held_since_) return *held_since_ + pin_limit * release_due_part;
    const bool called_off = in_doubt_ && newest_out_ && place_of_ == newest_;
    return called_off ? std::optional(asked_at_ + pin_limit * 0.5) : std::nullopt;
  }
  auto operator<=>(const FlagOfTheNewestRead&) const = default;

 private:
  int newest_ = -1, place_of_ = -1, count_ = 0;
  Instant asked_at_;
  bool newest_out_ = false, in_doubt_ = false, unwanted_ = false, streams_ = false;
  std::optional<Instant> held_since_;
};

template <class Rules = FlagOfTheNewestRead>
testing::AssertionResult old_rules_break(const Bounds& bounds, const std::string& expected) {
  const std::string found = Model<Rules>(bounds).explore();
  if (found.find(expected) != std::string::npos) return testing::AssertionSuccess();
  return testing::AssertionFailure() << "found: " << found;
}

TEST(ReservationsModel, FindsInTheOldRulesThatAGrantWasTakenForTheReadsArrival) {
  Bounds bounds;
  bounds.reads = 1, bounds.decodes = 0, bounds.unknown_places = false, bounds.answers_lost = false;
  EXPECT_TRUE(old_rules_break(bounds, "a place was held beyond the limit"));
}

TEST(ReservationsModel, FindsInTheOldRulesThatAPlaceGrantedAfterTheFetchWasNobodys) {
  Bounds bounds;
  bounds.reads = 1, bounds.unknown_places = false, bounds.answers_lost = false;
  bounds.reads_taken_at_once = true;
  EXPECT_TRUE(old_rules_break(bounds, "a place was held beyond the limit"));
}

TEST(ReservationsModel, FindsInTheOldRulesThatAPlaceOutlivedItsRead) {
  Bounds bounds;
  bounds.decodes = 0, bounds.granted_places = false;
  EXPECT_TRUE(old_rules_break(bounds, "held beyond the limit"));
}

// The rules before, for the model alone: a read is out once its engine has answered any later call.
class LaterAnswersAreBelieved : public Reservations {
 public:
  void read_shown(int) { shown_ = true; }
  void read_ended(int attempt, ReadEnd end, bool own_answer, Instant now) {
    shown_ = false;
    Reservations::read_ended(attempt, end, own_answer, now);
  }
  std::optional<Instant> release_due(Span pin_limit) const {
    return shown_ ? std::nullopt : Reservations::release_due(pin_limit);
  }
  auto operator<=>(const LaterAnswersAreBelieved&) const = default;

 private:
  bool shown_ = false;
};

TEST(ReservationsModel, FindsInTheOldRulesThatAnotherCallsAnswerWasTakenForTheReadsArrival) {
  Bounds bounds;
  bounds.reads = 1, bounds.decodes = 0, bounds.reads_swallowed = true;
  EXPECT_TRUE(old_rules_break<LaterAnswersAreBelieved>(bounds, "a place was held beyond the limit"));
}

// A: the release overtakes the end of the attempt that was given up.
TEST(ReservationsModel, FindsInTheOldRulesThatAReleaseOvertookAnEnd) {
  Bounds bounds;
  bounds.reads = 1, bounds.places = false;
  EXPECT_TRUE(old_rules_break<EndsAreBelieved<false>>(bounds, "a state was held beyond the limit"));
}

// B and C: a release is answered while an attempt waits, and its entry is taken for released.
TEST(ReservationsModel, FindsInTheOldRulesThatAReleaseUnderAnAttemptWasBelieved) {
  Bounds bounds;
  bounds.reads = 1, bounds.places = false, bounds.client_leaves = false;
  bounds.ticks = 11;
  EXPECT_TRUE(old_rules_break<EndsAreBelieved<true>>(bounds, "a state was held beyond the limit"));
}

}  // namespace
}  // namespace calicograde::test
