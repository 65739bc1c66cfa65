#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "fleet/campaign.hpp"
#include "fleet/fleet_file.hpp"

// One question to one front's admin interface.
namespace calicograde::fleet {

struct Answer {
  Result result = Result::Unreachable;
  std::string what;             // of all but Done: why
  nlohmann::ordered_json body;  // of Done
};
// Asks, and reads the whole answer, by `until`. Nothing is tried again.
Answer ask(const Front& front, const std::string& method, const std::string& path,
           const nlohmann::ordered_json& body, Instant until);
// The same for what may be asked again: as long as it is unreachable or unknown, until `until`, `tries`
// times.
Answer ask_again(const Front& front, const std::string& method, const std::string& path,
                 const nlohmann::ordered_json& body, Instant until, int tries);

struct DrainAsk {
  std::string by;
  Span limit = Span::millis(300000);
  bool cut = true, remember = false, wait = true;
};
// A drain from the asking until the front says that it is drained; the front's own limit ends it, and
// `until` the wait for it.
Answer drain(const Front& front, const DrainAsk& ask, Span each, Instant until);

}  // namespace calicograde::fleet
