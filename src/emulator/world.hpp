#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/arrivals.hpp"
#include "emulator/engine.hpp"
#include "limits/knee.hpp"

// A fleet of emulated engines and its fronts in simulated time: the module, the cases and the knowledge of
// prompts as the daemon has them, without sockets. Same seed, same rows.
namespace calicograde::emulator {

enum class Knows { Nothing, Table, Sends, Events, Perfect };  // of what engines keep

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
  int losses = 1;                       // so often, `lost_for` between them
  bool lost_silent = false;             // its links are cut: nothing answers, nothing refuses
  double back_share = 1;                // of its engines that come back
  // How many of the fronts take work from when on, in order; each hears of it up to `told_late` later, and
  // acts on the count that membership::Membership makes of it. Empty = all, all the time.
  std::vector<std::pair<Span, int>> active;
  std::optional<Span> front_restarts;  // the first front, then: it comes back
  // With what it kept: nothing; what it knew, aged by `away`; or a file that lies, each engine's texts said
  // to be another's.
  enum class Keeps { Nothing, File, Lies } front_keeps = Keeps::Nothing;
  Span away = Span::millis(2000);
  // Beside the module: adaptive caps, tiers (each front prefers one hall, in turn) with a bound on spill, a
  // budget of repeated sends; or, in its place, engines in turn.
  bool caps = false, tiers = false, round_robin = false;
  limits::KneeRules::By caps_by = limits::KneeRules::By::Aimd;
  double spill_bound = 0.25, repeats = 0;
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
  double value = 1;  // of its route
};

std::vector<Row> simulate(const WorldShape& shape);

}  // namespace calicograde::emulator
