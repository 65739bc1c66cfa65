#pragma once

#include "core/time.hpp"

namespace calicograde::net {

// The machine's monotonic clock as a point of the project's own type; the same in all processes of one
// machine.
Instant clock_now();

}  // namespace calicograde::net
