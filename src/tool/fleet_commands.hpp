#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace calicograde::tool {

// Adds `fleet` and its subcommands. `chosen` is set to what is to be run once the line is parsed.
void add_fleet(CLI::App& app, std::function<int()>& chosen);

}  // namespace calicograde::tool
