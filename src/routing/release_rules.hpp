#pragma once

#include <cstddef>

#include "core/time.hpp"

// How releases are asked for, and how calls are given up that an engine may take later. Any engine takes a
// release, so that the choice is free: those that have lately shown that they run go first.
namespace calicograde {

// Of one engine, before the next is asked.
constexpr Span release_answer = Span::millis(25);
// An engine that showed so lately that it runs, still does; it is asked alone.
constexpr Span fresh_sign = Span::millis(100);
// Otherwise so many are asked at once, and so many in all.
constexpr std::size_t asked_where_none_is_fresh = 3, takers_asked = 32;
// A release is given up so long after the pin limit.
constexpr Span release_after_limit = Span::millis(200);
// Of the pin limit: an attempt that the engine's machine has not acknowledged by then is given up. What is
// left serves one more.
constexpr double acknowledged_part_of_pin = 0.5;
// Connections kept to engines that may take a call that was given up.
constexpr std::size_t abandoned_calls = 24;
// A stop of an attempt whose connection stays open is noticed within so long where the engine does not react.
constexpr Span stop_noticed_within = Span::millis(100);

}  // namespace calicograde
