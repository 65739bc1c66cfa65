#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "soak/run_settings.hpp"
#include "soak/schedule.hpp"

// Randomized fault soak: front nodes as real processes on loopback, with engines, discovery and clients that
// misbehave by a schedule from a seed; judged by what went over the sockets.
namespace calicograde::soak {

struct Options {
  std::string daemon, fault_library;
  std::string engine_program;  // that runs an engine with --engine: calicograde-soak
  std::size_t nodes = 10, prefill_engines = 4, decode_engines = 4, clients_each = 3;
  Span length = Span::millis(14000);
  std::vector<Trouble> only;            // none = all troubles
  std::optional<RunSettings> settings;  // none = drawn from the seed
  std::string keep_logs_in;             // of runs that failed; empty = they are dropped
  bool keep_all_logs = false;
};

struct Result {
  bool passed = false;
  std::string report;  // figures, and each violation
  double node_seconds = 0;
  // Attempts that nodes gave up since nothing showed that they had arrived.
  std::size_t called_off = 0;
};

// Throws std::runtime_error where the run can't be set up.
Result run(std::uint64_t seed, const Options& options);
Result run(const Schedule& schedule, const Options& options);

}  // namespace calicograde::soak
