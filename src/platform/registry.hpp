#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "platform/names.hpp"

// What the platform's registry says of engines. Free of I/O.
namespace calicograde::platform {

// The same at every front node: made of the instance's name alone, never of where it is reached.
EngineId engine_id(std::string_view instance);

struct Listed {
  std::string instance, host_port;
  EngineEntry entry;               // without its start:
  std::optional<Span> started_at;  // wall time since the Unix epoch; none = long ago
};
struct Listing {
  std::uint64_t version = 0;
  bool whole = false;  // it replaces what was known
  std::vector<Listed> engines;
  std::vector<std::string> skipped;  // the first entries that could not be understood, and why
  std::size_t skipped_count = 0;     // all of those
};
// The longest list, as JSON. Its entries are not counted: a list holds the engines that are in service and,
// for as long as they drain, those before them.
inline constexpr std::size_t most_listing_bytes = 8 << 20;
// One object of the registry, or what is wrong with it. Entries of unknown kinds, zones or states are
// skipped.
std::variant<Listing, std::string> parse_listing(std::string_view json, const Decoded& names);

}  // namespace calicograde::platform
