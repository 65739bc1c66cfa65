// The place that decides what may be written, asked for or closed now.
#include "front/permissions.hpp"

#include <gtest/gtest.h>

#include "front/address_book.hpp"

namespace calicograde::front {
namespace {

Instant at(int ms) { return Instant::at(Span::millis(ms)); }

AttemptView sound() {
  AttemptView view;
  view.now = at(100), view.write_by = at(200);
  view.engine = {true, false, std::nullopt};
  return view;
}

TEST(Permissions, AnAttemptIsWrittenOnlyWhileAllHolds) {
  EXPECT_EQ(may_write_attempt(sound()), Denial::None);
  struct Case {
    Denial why;
    void (*change)(AttemptView&);
  };
  const Case cases[] = {
      {Denial::CalledOff, [](AttemptView& v) { v.called_off = true; }},
      {Denial::ClientGone, [](AttemptView& v) { v.client_gone = true; }},
      {Denial::Answered, [](AttemptView& v) { v.answered = true; }},
      {Denial::TimeOver, [](AttemptView& v) { v.now = v.write_by; }},
      {Denial::EngineUnknown, [](AttemptView& v) { v.engine.listed = false; }},
      {Denial::EngineDraining, [](AttemptView& v) { v.engine.draining = true; }},
      {Denial::MayHaveRun, [](AttemptView& v) { v.effect_repeats = false, v.others_may_have_run = 1; }},
  };
  for (const auto& c : cases) {
    AttemptView view = sound();
    c.change(view);
    EXPECT_EQ(may_write_attempt(view), c.why) << name_of(c.why);
  }
}

TEST(Permissions, AReadMayFollowAnAttemptThatMayHaveRun) {
  AttemptView view = sound();
  view.effect_repeats = false, view.others_may_have_run = 1, view.to_prefill = true;
  EXPECT_EQ(may_write_attempt(view), Denial::None);
}

TEST(Permissions, APlaceNeedsItsReadAndAnEngineThatStays) {
  const EngineStanding ready{true, false, std::nullopt}, draining{true, true, at(1)}, gone{};
  EXPECT_EQ(may_ask_place({true, true, ready}), Denial::None);
  EXPECT_EQ(may_ask_place({false, false, ready}), Denial::None);
  EXPECT_EQ(may_ask_place({true, false, ready}), Denial::ReadOver);
  EXPECT_EQ(may_ask_place({true, true, draining}), Denial::EngineDraining);
  EXPECT_EQ(may_ask_place({true, true, gone}), Denial::EngineUnknown);
}

TEST(Permissions, AReleaseGivesWayToANewerAttemptAndToItsEnd) {
  EXPECT_EQ(may_release({at(1), at(2), false}), Denial::None);
  EXPECT_EQ(may_release({at(1), at(2), true}), Denial::NewerAttempt);
  EXPECT_EQ(may_release({at(2), at(2), false}), Denial::TimeOver);
}

TEST(Permissions, AConnectionEndsWithAnAnswerOrWithItsClient) {
  EXPECT_EQ(may_close({false, false}), Denial::None);
  EXPECT_EQ(may_close({true, true}), Denial::None);
  EXPECT_EQ(may_close({true, false}), Denial::RequestUnanswered);
}

TEST(Permissions, DenialsAndViolationsAreCountedByReason) {
  log::Log quiet("/dev/null", log::Level::Error);
  Permissions permissions(quiet);
  EXPECT_EQ(permissions.note(Denial::None, "write", "a"), Denial::None);
  EXPECT_EQ(permissions.note(Denial::TimeOver, "write", "a"), Denial::TimeOver);
  permissions.violated(Violation::HeldTooLong, "a", Span::millis(5));
  EXPECT_EQ(permissions.denials(), 1u);
  EXPECT_EQ(permissions.denials(Denial::TimeOver), 1u);
  EXPECT_EQ(permissions.violations(), 1u);
  EXPECT_EQ(permissions.violations(Violation::HeldTooLong), 1u);
}

// The moment of the first word counts: a list that says the same again makes no drain younger.
TEST(AddressBook, KnowsSinceWhenAnEngineDrainsOrHasGone) {
  AddressBook book;
  const EngineId id{{1, 2, 3, 4}, 5};
  const net::Address where{"127.0.0.1", 7};
  EXPECT_FALSE(book.standing(id).listed);
  book.set(id, where, false);
  EXPECT_TRUE(book.standing(id).listed && !book.standing(id).draining && !book.standing(id).told_at);
  book.set(id, where, true);
  const auto since = book.standing(id).told_at;
  ASSERT_TRUE(since);
  book.set(id, where, true);
  EXPECT_EQ(book.standing(id).told_at, since);
  book.drop(id);
  EXPECT_FALSE(book.standing(id).listed);
  EXPECT_EQ(book.standing(id).told_at, since);
  book.set(id, where, false);
  EXPECT_FALSE(book.standing(id).told_at);
  book.keep({});
  EXPECT_TRUE(book.standing(id).told_at);
}

}  // namespace
}  // namespace calicograde::front
