// Front nodes beside decode engines that take attempts and answer none: what an attempt waits for stays held
// when it is given up, until a release that the engines take after its end. All as processes of their own.
#include <gtest/gtest.h>

#include "soak_rig.hpp"

namespace calicograde::soak {
namespace {

RunSettings hanging_engines(int ends_late_ms) {
  RunSettings settings;
  settings.holds_places = false;
  settings.hangs_on_attempts = true;
  settings.ends_late = Span::millis(ends_late_ms);
  return settings;
}

std::vector<Window> four_of_five_decode_engines_hang() {
  std::vector<Window> windows;
  for (std::size_t k = 0; k < 4; ++k) {
    windows.push_back(trouble_at(Trouble::EngineHang, 1200, 1800, a_decode_engine + k));
    windows.push_back(trouble_at(Trouble::EngineHang, 4000, 1500, a_decode_engine + 1 + k));
  }
  return windows;
}

void clients_leave(std::vector<Window>& windows) {
  for (std::size_t node = 0; node < 3; ++node)
    windows.push_back({Trouble::ClientLeaves, Span::millis(1000), Span::millis(4500), node, 0});
}

void expect_passed(std::uint64_t seed, const std::vector<Window>& windows, const RunSettings& settings) {
  const Result result = play(seed, windows, settings);
  EXPECT_TRUE(result.passed) << result.report;
}

TEST(GivenUpAttempts, WhatManyWaitForAtOneTimeIsReleased) {
  expect_passed(9901, four_of_five_decode_engines_hang(), hanging_engines(0));
}

TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedAfterEndsThatArriveFiveMillisecondsLate) {
  expect_passed(9902, four_of_five_decode_engines_hang(), hanging_engines(5));
}

TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedAfterEndsThatArriveFiftyMillisecondsLate) {
  RunSettings settings = hanging_engines(50);
  settings.holds_places = true;
  settings.place_answers = PlaceAnswers::Always;
  std::vector<Window> windows = four_of_five_decode_engines_hang();
  clients_leave(windows);
  expect_passed(9903, windows, settings);
}

TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedAfterEndsThatArriveTwoHundredMillisecondsLate) {
  RunSettings settings = hanging_engines(200);
  settings.second_copies = false;
  expect_passed(9904, four_of_five_decode_engines_hang(), settings);
}

// The engine drops the attempt when the wait that it was told is over, and says nothing.
TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedWhereTheirEndNeverArrives) {
  RunSettings settings = hanging_engines(60000);
  settings.give_up = Span::millis(1500);
  settings.drops_at_time = true;
  settings.quiet_ends = true;
  expect_passed(9905, four_of_five_decode_engines_hang(), settings);
}

TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedWhenTheirClientsLeave) {
  std::vector<Window> windows = four_of_five_decode_engines_hang();
  clients_leave(windows);
  expect_passed(9906, windows, hanging_engines(5));
}

TEST(GivenUpAttempts, WhatTheyWaitForIsReleasedBySigterm) {
  RunSettings settings = hanging_engines(50);
  settings.give_up = Span::millis(4000);
  std::vector<Window> windows = four_of_five_decode_engines_hang();
  for (std::size_t node = 0; node < 3; ++node)
    windows.push_back(
        {Trouble::Sigterm, Span::millis(1500 + 300 * static_cast<int>(node)), Span::millis(100), node, 0});
  expect_passed(9907, windows, settings);
}

}  // namespace
}  // namespace calicograde::soak
