#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/plan.hpp"
#include "lab/record.hpp"

namespace calicograde::lab {

struct Breach {
  int rule = 0;
  Instant at;
  std::string inference, what;
};
struct RouteFigures {
  int asked = 0, completed = 0, shed = 0, errored = 0, left = 0, cut = 0, refused = 0, late = 0;
  double sends = 0;
  std::vector<double> first_token_ms;
};
struct Verdict {
  std::map<int, int> checks;
  std::vector<Breach> breaches;
  std::map<std::string, RouteFigures> routes;
};

// Checks the five rules from what the engines, the roster and the clients saw on their sockets; no front's
// word counts.
Verdict audit(const Plan& plan, std::vector<Record> records);
std::string table(const Verdict& verdict);

}  // namespace calicograde::lab
