#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/engine.hpp"

// A fleet of emulated engines and its fronts in simulated time: the module, the cases and the knowledge of
// prompts as the daemon has them, without sockets. Same seed, same rows.
namespace calicograde::emulator {

enum class Knows { Nothing, Table, Sends, Events, Perfect };  // of what engines keep

struct LoadShape {
  double sessions_a_s = 2, turns = 4, think_s = 4;  // means
  std::size_t openings = 20;                        // shared, by Zipf
  double zipf = 1.1;
  double opening_tokens = 2000, turn_tokens = 400, answer_tokens = 120;  // medians; lognormal
  double spread = 0.6;                                                   // sigma
  double burst = 1, burst_s = 0;  // rate times this, for so long in each 30 s
};
struct WorldShape {
  int readers = 6, writers = 6, fronts = 1, racks = 2;
  Knows knows = Knows::Table;
  LoadShape load;
  Span length = Span::millis(60000), warm_up = Span::millis(10000);
  Span first_token_target = Span::millis(1500), timeout = Span::millis(8000);
  int restarts = 0;  // readers restarted, spread over the length
  int halls = 1;
  bool judge_halls = false;             // as the daemon does
  Span lost_at, lost_for;               // the last hall; zero = it is not lost
  Span told_late = Span::millis(5000);  // of its return, the last front
  std::size_t index_blocks = 1 << 20, memory_blocks = 4000;
  std::uint64_t seed = 1;
};

// One inference as its client saw it.
struct Row {
  double at_s = 0, first_token_ms = 0, prompt_tokens = 0, found_tokens = 0, best_tokens = 0;
  // best: what the reader that kept most of it kept when it arrived
  int outcome = 0;  // 0 completed, 1 shed, 2 errored
  // The most that any cold engine it was sent to had been sent in the window of rule 4, by all fronts
  // together, as a share of what it bears; 0 = none was cold.
  double push = 0;
};

std::vector<Row> simulate(const WorldShape& shape);

}  // namespace calicograde::emulator
