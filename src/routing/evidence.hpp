#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "core/time.hpp"

// How long an attempt may wait for evidence that its engine runs, while something is held for its request. A
// stopped process's kernel accepts connections and bytes for it, so only a byte from the engine after the
// write of the attempt shows that the attempt has arrived. Until then what is held counts as waiting.
namespace calicograde {

// Of what is left of the limit: the rest serves another engine, or the release.
constexpr double part_for_a_sign = 0.5;
// Of the wait for a sign: from then on the engine is probed, where that is allowed.
constexpr double part_before_a_probe = 0.5;
// Of the wait for a sign: what is not written by then comes too late for one.
constexpr double part_before_the_write = 0.5;
// Less than this is of no use to an engine that runs.
constexpr Span least_wait_for_a_sign = Span::millis(20);

// So many times the longest of the last waits for a first token are unusual, once there are enough of them:
// the connection has fallen silent alone.
constexpr double unusual_first_token = 3;
constexpr std::size_t first_tokens_needed = 8;

// Pin limits: a read's answer that would be due later than that is not looked for.
constexpr double late_read_limits = 2;

struct SignWait {
  Span write_within, probe_after, call_off_after;
};

// `held`: how long something has been held with no attempt known to have arrived.
inline SignWait wait_for_a_sign(Span pin_limit, Span held) {
  SignWait out;
  out.call_off_after = std::max(least_wait_for_a_sign, (pin_limit - held) * part_for_a_sign);
  out.write_within = out.call_off_after * part_before_the_write;
  out.probe_after = out.call_off_after * part_before_a_probe;
  return out;
}

// From when on an answer that has not begun is late by all that was seen lately; none where that is too
// little.
inline std::optional<Span> answer_due_after(const std::vector<double>& first_token_seconds) {
  if (first_token_seconds.size() < first_tokens_needed) return std::nullopt;
  const double longest = *std::max_element(first_token_seconds.begin(), first_token_seconds.end());
  return Span::from_seconds(longest * unusual_first_token);
}

}  // namespace calicograde
