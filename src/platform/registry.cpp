#include "platform/registry.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/json.hpp"
#include "platform/registry_json.hpp"

namespace calicograde::platform {
namespace {

// An entry that can't be read costs a line of the log.
constexpr std::size_t most_skipped_reasons = 32;

std::optional<std::size_t> place_of(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), plain_name(name));
  return it == names.end() ? std::nullopt : std::optional<std::size_t>(it - names.begin());
}

// What is wrong with it; empty = nothing.
std::string read_entry(const Json& j, const Decoded& names, Listed& out) {
  out.instance = text_at(j, "instanceId"), out.host_port = text_at(j, "hostPort");
  if (out.instance.empty() || out.instance.size() > 256) return "instanceId is missing";
  EngineEntry& e = out.entry;
  e.engine = engine_id(out.instance);
  const std::string state = text_at(j, "lifecycle");
  if (state == "Ready") e.lifecycle = Lifecycle::Ready;
  else if (state == "Terminating") e.lifecycle = Lifecycle::Draining;
  else if (state == "Gone") e.lifecycle = Lifecycle::Gone;
  else return "lifecycle '" + state.substr(0, 40) + "' is not known";
  // Of what is gone the rest is of no use.
  const bool gone = e.lifecycle == Lifecycle::Gone;
  const auto kind = place_of(names.kinds, text_at(j, "machineType"));
  const auto zone = place_of(names.zones, text_at(j, "zone"));
  if (!gone && (!kind || *kind > 255)) return "machineType is not one of the settings'";
  if (!gone && (!zone || *zone > 255)) return "zone is not one of the settings'";
  if (!gone && out.host_port.empty()) return "hostPort is missing";
  e.kind = static_cast<std::uint8_t>(kind.value_or(0)), e.zone = static_cast<std::uint8_t>(zone.value_or(0));
  const double cell = number_at(j, "cell", 0), weight = number_at(j, "weight", 1);
  const double started = number_at(j, "startedAtMs", 0);
  if (!(cell >= 0 && cell <= 65535)) return "cell is out of range";
  if (!(weight >= 0 && weight <= 1e9)) return "weight is out of range";
  if (!(started >= 0 && started <= 1e14)) return "startedAtMs is out of range";
  e.rack = static_cast<std::uint16_t>(cell), e.size = weight;
  if (started > 0) out.started_at = Span::from_millis(started);
  return {};
}

}  // namespace

EngineId engine_id(std::string_view instance) {
  std::uint64_t h = text_hash(instance);  // folded to the 48 bits that an id has
  h ^= h >> 29, h *= 0x9E3779B97F4A7C15ULL, h ^= h >> 32;
  EngineId id;
  for (std::size_t k = 0; k < id.address.size(); ++k) id.address[k] = static_cast<std::uint8_t>(h >> (8 * k));
  id.port = static_cast<std::uint16_t>(h >> 32);
  return id;
}

std::variant<Listing, std::string> read_listing(const Json& j, const Decoded& names) {
  if (!j.is_object()) return std::string("no JSON object");
  const Json* list = at(j, "instances");
  const double version = number_at(j, "generation", -1);
  if (!(version >= 0 && version < 9e15)) return std::string("generation is missing");
  if (!list || !list->is_array()) return std::string("instances is missing");
  Listing out;
  out.version = static_cast<std::uint64_t>(version);
  const Json* whole = at(j, "reset");
  out.whole = whole && whole->is_boolean() && whole->get<bool>();
  for (const Json& entry : *list) {
    Listed e;
    const std::string wrong = read_entry(entry, names, e);
    if (wrong.empty()) {
      out.engines.push_back(std::move(e));
      continue;
    }
    ++out.skipped_count;
    if (out.skipped.size() < most_skipped_reasons)
      out.skipped.push_back((e.instance.empty() ? "?" : e.instance) + ": " + wrong);
  }
  return out;
}

std::variant<Listing, std::string> parse_listing(std::string_view text, const Decoded& names) {
  return read_listing(Json::parse(text, nullptr, false), names);
}

}  // namespace calicograde::platform
