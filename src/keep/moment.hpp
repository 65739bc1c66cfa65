#pragma once

#include <cstdint>
#include <string>

// A moment that can be told apart from another one by a later process, whatever was done to the wall clock
// meanwhile: as long as the machine has not been started anew, its boot clock measures what lies between.
namespace calicograde::keep {

struct Moment {
  std::int64_t wall_ms = 0;  // since the Unix epoch
  std::int64_t boot_ms = 0;  // since the machine was started, sleep included
  std::string boot;          // which start that was (/proc/sys/kernel/random/boot_id); empty = not known
  bool operator==(const Moment&) const = default;
  Moment minus_millis(std::int64_t ms) const { return {wall_ms - ms, boot_ms - ms, boot}; }
};

// By this machine's clocks.
Moment moment_now();

}  // namespace calicograde::keep
