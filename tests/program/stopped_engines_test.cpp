// Front nodes beside engines whose processes are stopped (SIGSTOP): the kernel still takes connections and
// bytes for them, and they take nothing. All as processes of their own; judged by what the engines took.
#include <gtest/gtest.h>

#include "soak_rig.hpp"

namespace calicograde::soak {
namespace {

TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileFourOfFiveDecodeEnginesAreStopped) {
  const Result result = play(9101, {trouble_at(Trouble::RoleStop, 1200, 1800, a_decode_engine),
                                    trouble_at(Trouble::RoleStop, 4200, 1500, a_decode_engine + 1)});
  EXPECT_TRUE(result.passed) << result.report;
  EXPECT_GT(result.called_off, 0u);  // so that the figure is one
}

TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileThreeOfFourPrefillEnginesAreStopped) {
  const Result result = play(9301, {trouble_at(Trouble::RoleStop, 1200, 1800, a_prefill_engine),
                                    trouble_at(Trouble::RoleStop, 4200, 1500, a_prefill_engine + 1)});
  EXPECT_TRUE(result.passed) << result.report;
}

TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileAllDecodeEnginesAreStopped) {
  const Result result = play(9501, {trouble_at(Trouble::RoleStop, 1200, 1500, a_decode_engine),
                                    trouble_at(Trouble::EngineStop, 1200, 1500, a_decode_engine)});
  EXPECT_TRUE(result.passed) << result.report;
}

// An engine that goes on takes the reads that the kernel kept for it, and may have done so before it notices
// that they were given up meanwhile: by clients that left, and at the end of their time.
TEST(StoppedEngines, WhatReadsLeaveThatWereGivenUpAtStoppedEnginesIsLetGo) {
  RunSettings settings;
  settings.late_notice = true;
  settings.give_up = Span::millis(900);
  settings.second_copies = false;
  std::vector<Window> windows{trouble_at(Trouble::RoleStop, 1200, 1800, a_prefill_engine),
                              trouble_at(Trouble::EngineStop, 1200, 1800, a_prefill_engine),
                              trouble_at(Trouble::RoleStop, 4000, 1200, a_prefill_engine + 1)};
  for (std::size_t node = 0; node < 3; ++node)
    windows.push_back({Trouble::ClientLeaves, Span::millis(1000), Span::millis(4500), node, 0});
  const Result result = play(9311, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Places that are granted though no read has arrived, by prefill engines that are stopped: a grant says
// nothing of the read.
TEST(StoppedEngines, PlacesAreLetGoThatWereGrantedForReadsAtStoppedEngines) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::Always;
  const Result result = play(9801,
                             {trouble_at(Trouble::RoleStop, 1200, 1800, a_prefill_engine),
                              trouble_at(Trouble::EngineStop, 1200, 1500, a_prefill_engine),
                              trouble_at(Trouble::RoleStop, 4200, 1500, a_prefill_engine + 1)},
                             settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Places that engines grant when they go on, to requests whose state has been fetched meanwhile.
TEST(StoppedEngines, PlacesAreLetGoThatAreGrantedAfterTheFetch) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::Always;
  std::vector<Window> windows;
  for (int k = 0; k < 5; ++k) {
    const auto engine = a_decode_engine + static_cast<std::size_t>(k);
    windows.push_back(trouble_at(Trouble::RoleStop, 1000 + k * 900, 180 + k * 40, engine));
  }
  const Result result = play(9811, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// "204 (after 0.3 s), not known [...] and a place may be held all the same."
TEST(StoppedEngines, PlacesThatNobodyCanTellOfAreLetGo) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::HeldUnknown;
  const Result result = play(9821, {trouble_at(Trouble::RoleStop, 1200, 1800, a_prefill_engine)}, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Engines that begin a request 60 ms after their machine has it, and write to others meanwhile: a byte for
// another call is no sign of this one's arrival.
TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileEnginesTakeCallsLateAndAreStopped) {
  RunSettings settings;
  settings.takes_late = Span::millis(60);
  settings.holds_places = false;
  std::vector<Window> windows;
  for (int k = 0; k < 5; ++k)
    windows.push_back(
        trouble_at(Trouble::RoleStop, 1000 + k * 950, 700, a_decode_engine + static_cast<std::size_t>(k)));
  const Result result = play(9831, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Decode engines whose streams go on while they begin nothing: they write to others all the time.
TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileEnginesStreamAndBeginNothing) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::Always;
  std::vector<Window> windows;
  for (std::size_t k = 0; k < 4; ++k)
    windows.push_back(trouble_at(Trouble::EngineTakesNothing, 1200, 1500, a_decode_engine + k));
  for (std::size_t k = 0; k < 3; ++k)
    windows.push_back(trouble_at(Trouble::EngineTakesNothing, 4000, 1500, a_prefill_engine + k));
  const Result result = play(9841, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Of engines that are stopped in the same second some take connections and begin nothing, and to others no
// connection comes up any more: their accept queues are full.
TEST(StoppedEngines, WhatIsHeldIsUsedOrLetGoWhileAcceptQueuesAreFull) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::Always;
  settings.accept_backlog = 1;
  const Result result = play(9861,
                             {trouble_at(Trouble::RoleStop, 1200, 1800, a_decode_engine),
                              trouble_at(Trouble::EngineStop, 1200, 1800, a_prefill_engine),
                              trouble_at(Trouble::RoleStop, 4200, 1500, a_prefill_engine + 1),
                              trouble_at(Trouble::EngineHang, 4200, 1500, a_decode_engine + 2)},
                             settings);
  EXPECT_TRUE(result.passed) << result.report;
}

TEST(StoppedEngines, PlacesAreLetGoThatAreGrantedAfterTheNodeWasToldToEnd) {
  RunSettings settings;
  settings.place_answers = PlaceAnswers::Always;
  std::vector<Window> windows;
  for (std::size_t k = 0; k < 3; ++k)
    windows.push_back(trouble_at(Trouble::EngineTakesNothing, 1200, 1900, a_decode_engine + k));
  for (std::size_t node = 0; node < 3; ++node)
    windows.push_back({Trouble::Sigterm, Span::millis(1400), Span::millis(100), node, 0});
  const Result result = play(9851, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

// Decode engines that run and take 0.45 s until a first token, with a limit of 0.5 s: a probe tells them from
// stopped ones, and what has only one attempt is not called off.
TEST(StoppedEngines, BusyEnginesThatAnswerProbesLoseNoCalls) {
  RunSettings settings;
  settings.probes = true;
  for (Effect& effect : settings.effects) effect = Effect::NonRetriable;
  std::vector<Window> busy;
  for (std::size_t k = 0; k < decode_engines; ++k)
    busy.push_back(trouble_at(Trouble::EngineBusy, 1500, 3000, a_decode_engine + k));
  const Result result = play(9701, busy, settings);
  EXPECT_TRUE(result.passed) << result.report;
  EXPECT_EQ(result.called_off, 0u) << result.report;
}

}  // namespace
}  // namespace calicograde::soak
