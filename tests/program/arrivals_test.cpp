#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/world.hpp"

namespace calicograde::emulator {
namespace {

TEST(Arrivals, AreTheSameForASeedAndReadBackAsTheyWereWritten) {
  LoadShape load;
  load.sessions_a_s = 5;
  const auto made = arrivals(load, 7, Span::millis(20000));
  EXPECT_EQ(text_of(made), text_of(arrivals(load, 7, Span::millis(20000))));
  EXPECT_NE(text_of(made), text_of(arrivals(load, 8, Span::millis(20000))));
  std::vector<settings::Fault> faults;
  const auto read = read_arrivals("a.csv", text_of(made), faults);
  ASSERT_TRUE(read && faults.empty());
  EXPECT_EQ(text_of(*read), text_of(made));
  EXPECT_TRUE(std::is_sorted(read->begin(), read->end(),
                             [](const auto& a, const auto& b) { return a.at_s < b.at_s; }));
}

TEST(Arrivals, RampsAndBurstsMoveTheRate) {
  LoadShape load;
  load.sessions_a_s = 20, load.turns = 1, load.ramp = 4;
  const auto rows = arrivals(load, 1, Span::millis(40000));
  const auto early = std::count_if(rows.begin(), rows.end(), [](const auto& a) { return a.at_s < 10; });
  const auto late = std::count_if(rows.begin(), rows.end(), [](const auto& a) { return a.at_s >= 30; });
  EXPECT_GT(late, early * 2);
  load.ramp = 1, load.burst = 5, load.burst_s = 5;
  EXPECT_EQ(rate_at(load, 2, 40), 100);
  EXPECT_EQ(rate_at(load, 6, 40), 20);
}

TEST(Arrivals, FaultsNameTheLineAndTheMend) {
  std::vector<settings::Fault> faults;
  EXPECT_FALSE(read_arrivals("a.csv", "time\n1,2\n", faults));
  ASSERT_GE(faults.size(), 2u);
  EXPECT_EQ(settings::text_of(faults[0]),
            "a.csv:1: the first line is not the header; begin with "
            "at_s,session,opening,opening_tokens,turn_tokens,answer_tokens");
  EXPECT_EQ(faults[1].line, 2);
  for (const char* row : {"1,2,3,4,5,0", "1,2,3,4,5", "1,2,3,4,5,6,7", "-1,2,3,4,5,6", "nan,1,1,1,1,1", ""}) {
    faults.clear();
    EXPECT_FALSE(read_arrivals(
        "a.csv",
        std::string("at_s,session,opening,opening_tokens,turn_tokens,answer_tokens\r\n") + row + "\r\n",
        faults))
        << row;
    EXPECT_FALSE(faults.empty()) << row;
  }
}

// A recorded load is played as it was, whatever became of each inference.
TEST(Arrivals, ARecordedLoadIsPlayedInTheEmulator) {
  LoadShape made;
  made.sessions_a_s = 3;
  WorldShape w;
  w.length = Span::millis(20000), w.warm_up = Span{};
  w.load.recorded = std::make_shared<const std::vector<Arrival>>(arrivals(made, 3, Span::millis(15000)));
  const auto rows = simulate(w);
  EXPECT_EQ(rows.size(), w.load.recorded->size());
  EXPECT_TRUE(std::all_of(rows.begin(), rows.end(), [](const Row& r) { return r.outcome == 0; }));
}

// A front that restarts in the midst of a loss: its clients come again, and all is served in the end.
TEST(World, AFrontThatRestartsWhileAHallIsLostServesAgain) {
  WorldShape w;
  w.halls = 2, w.fronts = 2, w.judge_halls = true, w.tiers = true, w.caps = true, w.repeats = 0.2;
  w.length = Span::millis(50000), w.warm_up = Span::millis(5000);
  w.lost_at = Span::millis(12000), w.lost_for = Span::millis(8000), w.front_restarts = Span::millis(15000);
  w.load.sessions_a_s = 5, w.load.offer_share = 0.3, w.load.retries = 2;
  const auto rows = simulate(w);
  int late = 0, failed = 0;
  for (const Row& r : rows)
    if (r.at_s > 35) ++late, failed += r.outcome != 0 || r.first_token_ms > 1500;
  EXPECT_GT(late, 50);
  EXPECT_LE(failed, late / 50);
  for (const Row& r : rows) EXPECT_LE(r.push, 1);  // rule 4
}

// From 3 fronts to 200 and back under load, while readers restart cold throughout: fronts hear of it late,
// and no cold engine is pushed over (rule 4).
TEST(World, TheNumberOfFrontsChangesUnderLoadAndNobodyIsPushedOver) {
  WorldShape w;
  w.fronts = 200, w.restarts = 12, w.told_late = Span::millis(5000);
  w.active = {{Span{}, 3}, {Span::millis(15000), 200}, {Span::millis(30000), 3}};
  w.length = Span::millis(45000), w.warm_up = Span::millis(5000);
  w.load.sessions_a_s = 9;
  const auto rows = simulate(w);
  double most = 0;
  int completed = 0;
  for (const Row& r : rows) most = std::max(most, r.push), completed += r.outcome == 0;
  EXPECT_GT(most, 0);
  EXPECT_LE(most, 1);
  EXPECT_GT(completed, static_cast<int>(rows.size()) * 9 / 10);
}

// Lost three times, its links cut, half of it back: no cold engine is pushed over, and the rest serves.
TEST(World, AHallThatFlapsWithHalfOfItBackPushesNobodyOver) {
  WorldShape w;
  w.halls = 2, w.fronts = 6, w.judge_halls = true, w.tiers = true, w.lost_silent = true;
  w.length = Span::millis(40000), w.warm_up = Span::millis(5000);
  w.lost_at = Span::millis(10000), w.lost_for = Span::millis(3000), w.losses = 3, w.back_share = 0.5;
  w.load.sessions_a_s = 8;
  const auto rows = simulate(w);
  int completed = 0;
  for (const Row& r : rows) {
    EXPECT_LE(r.push, 1);
    completed += r.outcome == 0;
  }
  EXPECT_GT(completed, static_cast<int>(rows.size()) * 8 / 10);
}

}  // namespace
}  // namespace calicograde::emulator
