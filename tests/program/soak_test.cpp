// The soak's oracle and schedule: each rule that it is to see broken is broken here, once.
#include <gtest/gtest.h>

#include <set>

#include "soak/oracle.hpp"
#include "soak/run_settings.hpp"
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

// A kill that comes as early as the page allows after SIGTERM excuses no answer; a stream that was under way
// may break off with it.
TEST(SoakOracle, BlamesWhatTheKillAfterSigtermFinds) {
  const auto killed = [](int sigterm_ms) {
    Story s;
    s.entries.push_back(NodeTerminated{0, at(sigterm_ms)});
    s.entries.push_back(NodeEnded{0, at(4700), NodeEnd::KilledAfterSigterm, 9});
    return s.sent();
  };
  EXPECT_EQ(killed(1100).answered(AnswerKind::NoAnswer, 4700).only(), Rule::Lost);
  EXPECT_TRUE(killed(900).attempt(1, 1050, 4700).answered(AnswerKind::CutStream, 4700, "x").judged().empty());
  EXPECT_EQ(killed(100).attempt(1, 1050, 4700).answered(AnswerKind::CutStream, 4700, "x").only(), Rule::Lost);
  Story held = killed(1100);
  held.entries.push_back(HoldBegan{"a", 0, at(1500)});
  EXPECT_EQ(held.answered(AnswerKind::Failed, 1600).only(), Rule::Pinned);
}

// What is taken right after a stop may have been written before it.
TEST(SoakOracle, CountsWhatAStoppedEngineTakesAsWrittenBefore) {
  Story s;
  s.entries.push_back(EngineStopped{1, at(900)});
  s.entries.push_back(EngineWentOn{1, at(2000)});
  s.entries.push_back(LifecycleTold{0, 1, 7, Lifecycle::Draining, at(950)});
  Story later = s;
  EXPECT_TRUE(s.sent().attempt(1, 2010, 2100).answered(AnswerKind::Stream, 2100, "x").judged().empty());
  EXPECT_EQ(later.sent().attempt(1, 2400, 2500).answered(AnswerKind::Stream, 2500, "x").only(), Rule::Drain);
}

// A connection that had rested may end unread; one that had been read to a request's last byte may not.
TEST(SoakOracle, SeesRequestsThatWereReadAndNotAnswered) {
  const auto judged = [](std::size_t read, int closed_at) {
    Story s;
    s.sent();
    s.entries.push_back(ConnectionEnded{0, 4000, 900, at(300)});  // an earlier connection of that port
    s.entries.push_back(ConnectionEnded{0, 4000, read, at(closed_at)});
    RequestEnded ended{"a", at(1200), AnswerKind::NotReceived, {}};
    ended.connected = at(500), ended.port = 4000, ended.bytes_written = 700;
    s.entries.push_back(ended);
    return s;
  };
  EXPECT_EQ(judged(700, 1100).only(), Rule::Lost);
  EXPECT_TRUE(judged(400, 1100).judged().empty());
}

TEST(SoakOracle, SeesWaitsThatEnginesAreToldTooLong) {
  const auto told = [](int wait) {
    Story s;
    s.sent().attempt(1, 1050, 1200).answered(AnswerKind::Stream, 1200, "x");
    for (Entry& entry : s.entries)
      if (auto* began = std::get_if<AttemptBegan>(&entry)) began->told_wait = Span::millis(wait);
    return s;
  };
  EXPECT_TRUE(told(2000).judged().empty());
  EXPECT_EQ(told(2500).only(), Rule::LongWait);
}

TEST(SoakOracle, SeesEventsThatAreHeldBack) {
  const auto streams = [](int late, int count) {
    Story s;
    for (int k = 0; k < count; ++k) {
      const std::string id = "r" + std::to_string(k);
      const auto number = static_cast<std::uint64_t>(k + 1);
      s.entries.push_back(RequestSent{id, 0, Effect::Retriable, at(1000), at(3000)});
      s.entries.push_back(AttemptBegan{id, 1, number, Role::Decode, at(1010)});
      s.entries.push_back(AttemptEnded{id, number, at(2000), true, id, false, {at(1100), at(1200)}});
      RequestEnded ended{id, at(2000), AnswerKind::Stream, id};
      ended.events_read = {at(1101), at(k < late ? 1800 : 1250)};
      s.entries.push_back(ended);
    }
    return s;
  };
  EXPECT_TRUE(streams(4, 40).judged().empty());
  EXPECT_EQ(streams(5, 40).only(), Rule::HeldBack);
}

TEST(SoakOracle, SeesHalfRequestsThatAreLeftWithoutAnEnd) {
  const auto judged = [](std::optional<Instant> ended) {
    Story s;
    s.entries.push_back(HalfRequest{0, at(1000), ended});
    return s;
  };
  EXPECT_TRUE(judged(at(4000)).judged().empty());
  EXPECT_EQ(judged(at(4500)).only(), Rule::HalfRequest);
  EXPECT_EQ(judged({}).only(), Rule::HalfRequest);
  Story killed = judged({});
  killed.entries.push_back(NodeEnded{0, at(3000), NodeEnd::Killed, 9});
  EXPECT_TRUE(killed.judged().empty());
}

// Events come no more from an engine that is stopped: a stream may be ended after long enough a silence.
TEST(SoakOracle, ExcusesStreamsThatAStoppedEngineLeftSilent) {
  const auto cut = [](int stopped_at) {
    Story s;
    s.entries.push_back(EngineStopped{1, at(stopped_at)});
    return s.sent().attempt(1, 1050, 9000).answered(AnswerKind::CutStream, 5600, "x");
  };
  EXPECT_TRUE(cut(1100).judged().empty());
  EXPECT_EQ(cut(3000).only(), Rule::Lost);
}

TEST(SoakOracle, SeesEnginesInSlowStartThatGetTooMuch) {
  const auto judged = [](int attempts, bool told) {
    Story s;
    s.entries.push_back(EngineStarted{1, 9, Role::Decode, at(2000)});
    if (told) s.entries.push_back(LifecycleTold{0, 1, 9, Lifecycle::Ready, at(2000)});
    for (int k = 0; k < attempts; ++k) {
      const std::string id = "r" + std::to_string(k);
      s.entries.push_back(RequestSent{id, 0, Effect::Retriable, at(2000), at(9000)});
      s.entries.push_back(AttemptBegan{id, 1, 100u + static_cast<unsigned>(k), Role::Decode, at(2100 + k)});
      s.entries.push_back(AttemptEnded{id, 100u + static_cast<unsigned>(k), at(2300 + k), true, "x", false});
      s.entries.push_back(RequestEnded{id, at(2400), AnswerKind::Stream, "x"});
    }
    // Far apart, so that the mean of a window is small.
    s.sent().attempt(1, 1050, 1200, true, "x", 2).answered(AnswerKind::Stream, 1200, "x");
    s.entries.push_back(AttemptBegan{"a", 2, 2, Role::Decode, at(9000)});
    s.entries.push_back(AttemptEnded{"a", 2, at(9100), false, "", false});
    Limits limits;
    limits.pin_limit = limits.drain_grace = Span::millis(500), limits.dedupe_window = Span::millis(1500);
    limits.cold = Span::millis(4000), limits.fall = Span::millis(1500);
    limits.cold_from = 0.25, limits.fall_multiple = 2.5, limits.engines_of_role = 4;
    return judge(s.entries, limits, at(20000)).violations;
  };
  ASSERT_EQ(judged(40, true).size(), 1u);
  EXPECT_EQ(judged(40, true)[0].rule, Rule::SlowStart);
  EXPECT_TRUE(judged(40, false).empty());  // the node did not know
  EXPECT_TRUE(judged(3, true).empty());
}

TEST(SoakSettings, AreTheSeedsAndDiffer) {
  EXPECT_EQ(draw_settings(7).json(), draw_settings(7).json());
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) all.insert(draw_settings(seed).json());
  EXPECT_GE(all.size(), 18u);
  RunSettings usual;
  EXPECT_EQ(usual.kill_after_sigterm(), Span::millis(3200));
  usual.give_up = Span::millis(10000);
  EXPECT_EQ(usual.kill_after_sigterm(), Span::millis(3700));
}

TEST(SoakSchedule, ChoosesAmongTheTroublesThatAreNamed) {
  const auto schedule = make_schedule(7, 10, 8, Span::millis(14000), {Trouble::EngineStop, Trouble::Sigterm});
  EXPECT_FALSE(schedule.windows.empty());
  for (const Window& w : schedule.windows)
    EXPECT_TRUE(w.trouble == Trouble::EngineStop || w.trouble == Trouble::Sigterm);
  EXPECT_EQ(trouble_named("role_stop"), Trouble::RoleStop);
  EXPECT_EQ(trouble_named("nonsense"), std::nullopt);
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
