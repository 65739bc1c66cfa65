#pragma once

#include <unistd.h>

#include <functional>

#include "net/clock.hpp"

namespace calicograde {

// Waits for an event; false if it does not come.
inline bool until(const std::function<bool()>& holds, Span most = Span::millis(20000)) {
  const Instant end = net::clock_now() + most;
  while (!holds())
    if (usleep(1000); net::clock_now() > end) return false;
  return true;
}

}  // namespace calicograde
