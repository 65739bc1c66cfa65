#pragma once

#include <string>

#include "platform/config.hpp"
#include "settings/settings.hpp"

namespace calicograde::node {

// The settings of a front that is one node of the platform: all that is not needed there is off.
// Throws std::runtime_error where an address can't be read.
settings::Front front_settings(const platform::NodeConfig& config);

// Runs a front node by the configuration in that file until SIGTERM; SIGHUP reads the file anew. Returns the
// program's exit code (docs/operators/front_node.md).
int run(const std::string& config_file);

}  // namespace calicograde::node
