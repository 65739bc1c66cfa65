#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace calicograde::tool {

// Adds `import haproxy`. `chosen` is set to what is to be run once the line is parsed.
void add_import(CLI::App& app, std::function<int()>& chosen);

}  // namespace calicograde::tool
