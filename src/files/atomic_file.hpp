#pragma once

#include <optional>
#include <string>
#include <string_view>

// Small files that are whole or not there, whatever happens in between.
namespace calicograde::files {

// Written beside it, synced, renamed over it, the folder synced. What went wrong, or nothing.
std::string write_atomically(const std::string& path, std::string_view text);
// Removed, the folder synced. What went wrong, or nothing; a file that is not there is no fault.
std::string remove_durably(const std::string& path);
// Its text; none if it is not there. `wrong` tells of any other cause.
std::optional<std::string> read_small(const std::string& path, std::string& wrong,
                                      std::size_t most = 1 << 20);

}  // namespace calicograde::files
