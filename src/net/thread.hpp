#pragma once

#include <cstddef>
#include <functional>

namespace calicograde::net {

// Starts a detached thread with a stack of `stack_bytes` and a guard page below it
// (pthread_attr_setstacksize). Returns false when the machine has no thread left; nothing was started then
// and `body` is not called. Built with a sanitizer, whose frames are larger, the stack is made four times as
// large.
bool start_thread(std::size_t stack_bytes, std::function<void()> body);

}  // namespace calicograde::net
