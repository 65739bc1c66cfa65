#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "settings/xml.hpp"

// Who asks what and when: open-loop arrivals for the emulator and for `calicograde-lab load`, made from
// figures or recorded. Free of I/O and clocks; the same seed gives the same arrivals.
namespace calicograde::emulator {

// One turn of a session. A session's rows with the same number go on with one text.
struct Arrival {
  double at_s = 0;
  std::uint64_t session = 0, opening = 0;
  double opening_tokens = 0, turn_tokens = 0, answer_tokens = 0;
};

struct LoadShape {
  double sessions_a_s = 2, turns = 4, think_s = 4;  // means
  std::size_t openings = 20;                        // shared, by Zipf
  double zipf = 1.1;
  double opening_tokens = 2000, turn_tokens = 400, answer_tokens = 120;  // medians; lognormal
  double spread = 0.6;                                                   // sigma
  double burst = 1, burst_s = 0;  // rate times this, for so long in each 30 s
  double offer_share = 0;         // of the sessions: one turn on the cheaper of two routes, at half the value
  int retries = 0;                // of each client whose inference is shed or errored
  double ramp = 1;                // the rate at the end, times the one at the start; straight between
  std::shared_ptr<const std::vector<Arrival>> recorded;  // played in place of all the above
};

// How fast sessions begin at `t` seconds of `length`.
double rate_at(const LoadShape& load, double t, double length);
// The length of the opening: the same for all who share it.
double opening_length(const LoadShape& load, std::uint64_t opening, std::uint64_t seed);
// Open loop: a turn comes a think time after the one before was due, whatever became of that. By time.
std::vector<Arrival> arrivals(const LoadShape& load, std::uint64_t seed, Span length);

// CSV with a header: at_s,session,opening,opening_tokens,turn_tokens,answer_tokens. Rows are sorted by time.
std::optional<std::vector<Arrival>> read_arrivals(const std::string& file, std::string_view text,
                                                  std::vector<settings::Fault>& faults);
std::string text_of(const std::vector<Arrival>& arrivals);

}  // namespace calicograde::emulator
