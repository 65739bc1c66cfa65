#pragma once

#include <string>

namespace calicograde::lab {

// A process that keeps marks and snapshots in a folder is killed at random moments, again and again; after
// each, what it had acknowledged must be there and the state whole. Prints a Markdown table; 0, or 1 if
// anything was lost.
int keep_kill(const std::string& folder, int times, unsigned seed);

}  // namespace calicograde::lab
