#pragma once

#include <cerrno>

namespace calicograde::net {

// Makes a system call again for as long as a signal interrupts it before it has had an effect (signal(7)).
// Only for calls that do not wait for a span of time.
template <class Call>
auto retry_interrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

}  // namespace calicograde::net
