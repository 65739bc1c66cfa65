#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics/latency.hpp"

// What many fronts say, put together: latencies added up bucket by bucket, and where one differs from the
// rest. Free of I/O.
namespace calicograde::fleet {

// What one front said, each as its admin interface has it; null = it did not say.
struct Said {
  std::string front;
  nlohmann::ordered_json state, engines, latency;
};

struct Report {
  std::size_t asked = 0, heard = 0;
  struct Route {
    std::map<std::string, std::uint64_t> outcomes;
    metrics::Latency first_token, whole;
  };
  std::map<std::string, Route> routes;
  std::vector<std::string> not_heard;      // whole, that is
  std::vector<std::string> other_buckets;  // fronts whose figures cannot be added
  // Fronts by settings digest, by build, by the count of fronts that they act on, by drain state.
  std::map<std::string, std::vector<std::string>> digests, builds, counts, drains;
  // An engine that some judge otherwise than most: judgement -> fronts.
  struct Odd {
    std::string engine, usual;
    std::map<std::string, std::vector<std::string>> others;
  };
  std::vector<Odd> odd;
  // Engines that only some have in their roster: who lacks them.
  std::map<std::string, std::vector<std::string>> lacking;
};

Report put_together(const std::vector<Said>& all);

}  // namespace calicograde::fleet
