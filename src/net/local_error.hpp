#pragma once

#include <cstdint>
#include <stdexcept>

#include "core/time.hpp"

// Failures of this machine, apart from those of whoever is on the other side of a connection: descriptors,
// memory, buffers, local ports or routes that are missing for a moment. They are tried again within the
// caller's deadline and say nothing of the peer.
namespace calicograde::net {

// Whether an errno value tells of this machine alone.
bool is_local_error(int error);
// Memory or buffers of the kernel are short: the same call may succeed a moment later.
bool is_out_of_memory(int error);

// Something that a process needs at its start could not be had for now.
class LocalError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Paces the tries after a local error: seeded pauses that grow from one to some twenty milliseconds, so that
// hundreds of processes on one machine do not try at the same moments.
class LocalRetry {
 public:
  // Seeds the pauses of this process; called once, before threads that use them start.
  static void seed(std::uint64_t seed);
  explicit LocalRetry(Instant deadline) : deadline_(deadline) {}
  // Waits a moment. False, without a wait, where the deadline is over.
  bool pause();

 private:
  const Instant deadline_;
  int tries_ = 0;
};

}  // namespace calicograde::net
