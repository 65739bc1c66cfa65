#pragma once

#include <string>
#include <variant>

#include "platform/json.hpp"
#include "platform/registry.hpp"

// The registry's lists as parsed JSON, for this package alone.
namespace calicograde::platform {

// As parse_listing().
std::variant<Listing, std::string> read_listing(const Json& json, const Decoded& names);

}  // namespace calicograde::platform
