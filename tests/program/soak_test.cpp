// The soak's oracle and schedule: each rule that it is to see broken is broken here, once.
#include <gtest/gtest.h>

#include "soak/oracle.hpp"
#include "soak/schedule.hpp"

namespace calicograde::soak {
namespace {

Instant at(int ms) { return Instant::at(Span::millis(ms)); }

struct Story {
  std::vector<Entry> entries{NodeStarted{0, at(0)}, NodeReady{0, at(10)}};
  std::vector<Violation> judged() const {
    Limits limits;
    limits.pin_limit = limits.drain_grace = Span::millis(500), limits.dedupe_window = Span::millis(1500);
    return judge(entries, limits, at(20000)).violations;
  }
  Rule only() const {
    const auto all = judged();
    EXPECT_EQ(all.size(), 1u);
    return all.empty() ? Rule::Crash : all[0].rule;
  }
  Story& sent(Effect effect = Effect::Retriable) {
    entries.push_back(RequestSent{"a", 0, effect, at(1000), at(3000)});
    return *this;
  }
  Story& answered(AnswerKind kind, int ms = 1200, const std::string& body = "") {
    entries.push_back(RequestEnded{"a", at(ms), kind, body});
    return *this;
  }
  Story& attempt(std::uint64_t n, int from, int to, bool ran = true, const std::string& stream = "x",
                 std::size_t engine = 1) {
    entries.push_back(AttemptBegan{"a", engine, n, Role::Decode, at(from)});
    entries.push_back(AttemptEnded{"a", n, at(to), ran, stream, false});
    return *this;
  }
};

TEST(SoakOracle, ASoundRequestBreaksNothing) {
  EXPECT_TRUE(Story().sent().attempt(1, 1050, 1200).answered(AnswerKind::Stream, 1200, "x").judged().empty());
}
TEST(SoakOracle, SeesLostRequests) {
  EXPECT_EQ(Story().sent().answered(AnswerKind::NoAnswer).only(), Rule::Lost);
  EXPECT_EQ(Story().sent().answered(AnswerKind::Silence, 6000).only(), Rule::Lost);
  EXPECT_EQ(Story().sent().answered(AnswerKind::Failed, 3900).only(), Rule::Lost);
  EXPECT_EQ(Story().sent().only(), Rule::Lost);
  EXPECT_EQ(Story().sent().attempt(1, 1050, 1200).answered(AnswerKind::CutStream, 1200, "x").only(),
            Rule::Lost);
  EXPECT_EQ(Story().sent().attempt(1, 1050, 1200).answered(AnswerKind::NotReceived).only(), Rule::Lost);
  EXPECT_EQ(Story().sent().answered(AnswerKind::ClientLeft, 1100).attempt(1, 1600, 1700).only(), Rule::Lost);
}
TEST(SoakOracle, SeesStreamsThatNoEngineMade) {
  EXPECT_EQ(Story().sent().attempt(1, 1050, 1200).answered(AnswerKind::Stream, 1200, "y").only(),
            Rule::Fabricated);
  EXPECT_EQ(Story().attempt(1, 1050, 1200).only(), Rule::Fabricated);
}
TEST(SoakOracle, SeesSecondEffects) {
  const auto twice = [](Effect effect, int second) {
    return Story()
        .sent(effect)
        .attempt(1, 1050, 1100)
        .attempt(2, second, second + 50)
        .answered(AnswerKind::Stream, second + 50, "x");
  };
  EXPECT_EQ(twice(Effect::NonRetriable, 1200).only(), Rule::Duplicate);
  EXPECT_TRUE(twice(Effect::Deduped, 1200).judged().empty());
  EXPECT_EQ(twice(Effect::Deduped, 2900).only(), Rule::Duplicate);
  EXPECT_TRUE(twice(Effect::Retriable, 1200).judged().empty());
  EXPECT_EQ(Story().sent(Effect::NonRetriable).attempt(1, 1050, 1100).answered(AnswerKind::Refused).only(),
            Rule::Duplicate);
}
TEST(SoakOracle, SeesSendsToDrainedEngines) {
  Story late, in_time, back;
  for (Story* s : {&late, &in_time, &back})
    s->entries.push_back(LifecycleTold{0, 1, 7, Lifecycle::Draining, at(500)});
  back.entries.push_back(LifecycleTold{0, 1, 8, Lifecycle::Ready, at(1200)});
  EXPECT_EQ(late.sent().attempt(1, 1400, 1500).answered(AnswerKind::Stream, 1500, "x").only(), Rule::Drain);
  EXPECT_TRUE(in_time.sent().attempt(1, 1100, 1200).answered(AnswerKind::Stream, 1200, "x").judged().empty());
  EXPECT_TRUE(back.sent().attempt(1, 1400, 1500).answered(AnswerKind::Stream, 1500, "x").judged().empty());
}
TEST(SoakOracle, SeesWhatIsHeldForTooLong) {
  const auto held = [](int from, int to) {
    Story s;
    s.entries.push_back(HoldBegan{"a", 0, at(from)});
    s.entries.push_back(HoldEnded{"a", 0, at(to)});
    return s.sent().answered(AnswerKind::Failed, 1500);
  };
  EXPECT_TRUE(held(1000, 1900).judged().empty());
  EXPECT_EQ(held(1000, 2200).only(), Rule::Pinned);
  EXPECT_TRUE(held(1000, 2200).attempt(1, 1300, 2000, false, "").judged().empty());
}
TEST(SoakOracle, SeesCrashesAndExcusesWhatAKillTookAlong) {
  Story crashed, killed;
  crashed.entries.push_back(NodeEnded{0, at(1100), NodeEnd::Crashed, 139});
  EXPECT_EQ(crashed.only(), Rule::Crash);
  killed.entries.push_back(NodeEnded{0, at(1100), NodeEnd::Killed, 9});
  EXPECT_TRUE(killed.sent().answered(AnswerKind::NoAnswer).judged().empty());
}

TEST(SoakSchedule, IsTheSeedsAndOverlaps) {
  const auto one = make_schedule(7, 10, 8, Span::millis(14000)),
             same = make_schedule(7, 10, 8, Span::millis(14000));
  EXPECT_EQ(text_of(one), text_of(same));
  EXPECT_NE(text_of(one), text_of(make_schedule(8, 10, 8, Span::millis(14000))));
  PairCounts pairs;
  count_pairs(one, pairs);
  EXPECT_GE(pairs.size(), 4u);
}

}  // namespace
}  // namespace calicograde::soak
