#pragma once

#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

#include "net/interrupted.hpp"
#include "net/socket.hpp"

// Processes that a run starts of its own program, and that end with it.
namespace calicograde::soak {

// Two ends of a SOCK_SEQPACKET pair: this process's and the child's. Throws std::runtime_error.
std::pair<net::Fd, net::Fd> message_channel();

// Starts `words` with these descriptors as 3, 4 and so on. Throws std::runtime_error.
pid_t start_child(std::vector<std::string> words, const std::vector<int>& descriptors);

// SIGKILL, and waits for its end.
void kill_child(pid_t pid);

// In the child: hands on each command that the run writes to the descriptor, and ends this process with the
// run.
template <class Command, class Take>
[[noreturn]] void heed_commands(int descriptor, Take take) {
  for (Command command;;) {
    const ssize_t got =
        net::retry_interrupted([&] { return ::recv(descriptor, &command, sizeof command, 0); });
    if (got != sizeof command) _exit(0);
    take(command);
  }
}

// In the child: ends with the process that started it, and writes to closed sockets end nothing.
void end_with_parent();

}  // namespace calicograde::soak
