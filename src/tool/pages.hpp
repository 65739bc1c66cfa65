#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace calicograde::tool {

// The commands of a program, as a man page (man(7)) and as completion for bash, from its own description.
std::string man_page(const CLI::App& app, const std::string& name, const std::string& version);
std::string bash_completion(const CLI::App& app, const std::string& name);

}  // namespace calicograde::tool
