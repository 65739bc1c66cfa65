#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "emulator/arrivals.hpp"
#include "net/socket.hpp"

namespace calicograde::lab {

struct LoadOptions {
  std::vector<net::Address> fronts;         // in turn
  std::string model = "member-chat", rows;  // rows: a CSV file of what each call came to; empty = none
  Span budget = Span::millis(10000), target = Span::millis(1500);
  std::size_t open = 2000;  // calls open at once; one more is counted as not made, never made later
  double bytes_a_token = 4;
};
// Plays arrivals against fronts, open loop: each call is begun when it is due, whatever became of the others,
// and its times count from then (no coordinated omission). Prints a Markdown table; 0, or 1 if a call was
// neither completed nor shed.
int play_load(const LoadOptions& options, const std::vector<emulator::Arrival>& arrivals, std::FILE* out);

}  // namespace calicograde::lab
