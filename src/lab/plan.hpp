#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "lab/engine_standin.hpp"
#include "settings/xml.hpp"

namespace calicograde::lab {

struct Load {
  std::string route;
  double rate = 1;
  Span from, length;
  int shared = 0, shared_bytes = 0, bytes = 400, max_tokens = 32, retries = 0;
  Span budget;  // zero = the route's time-out
  bool stream = true;
  double leave = 0, slow_readers = 0;  // shares of the clients
  std::string calls;  // what the stand-in model asks for: rounds with spaces between, "|" between tools
};
struct ToolLoad {
  std::string tool;
  double rate = 1, leave = 0;
  Span from, length;
};
struct PlannedTool {
  std::string name;
  Effect effect = Effect::NonRetriable;
  Span time_out;
};
struct Trouble {
  std::string kind, engines, route;
  Span at, length;
  int count = 1;
  double size = 0;
};
struct PlannedRoute {
  std::string name;
  Effect effect = Effect::Retriable;
  DedupeGroup group = DedupeGroup::All;
  Span target, timeout, window;
  double value = 1;
  std::string relay = {};  // patterns of tools that the fronts call
  int rounds = 8;
};
// The five rules in figures, as the auditor counts them.
struct RuleFigures {
  Span answer_grace = Span::millis(150), drain_grace = Span::millis(500), pin_limit = Span::millis(500);
  Span cold = Span::millis(4000), fall = Span::millis(1000);
  double cold_from = 0.25, fall_multiple = 2.5;
};
struct Plan {
  std::string name = "day";
  std::uint32_t seed = 1;
  Span length = Span::millis(10000), roster_late = Span::millis(300);
  std::vector<EngineOptions> engines;
  int fronts = 1, held = 512, zones = 1;
  bool limits = false;  // caps, a budget of repeats, and tiers: each front prefers its own hall
  bool admin = false;  // each front has its admin interface on a unix socket in the folder
  RuleFigures rules;
  std::vector<PlannedRoute> routes;
  std::vector<PlannedTool> tools;
  int tool_servers = 0;
  Span tool_takes;
  std::vector<Load> loads;
  std::vector<ToolLoad> tool_loads;
  std::vector<Trouble> troubles;
};

std::optional<Plan> read_plan(const std::string& file, std::string_view text,
                              std::vector<settings::Fault>& faults);
Plan small_plan();  // two readers, two writers, one front
// The settings of one of its fronts.
std::string front_settings(const Plan& plan, int number, const std::string& roster_address,
                           const std::string& log_file, const std::vector<std::string>& tool_servers = {},
                           const std::string& folder = {});

}  // namespace calicograde::lab
