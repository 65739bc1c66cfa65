#include "soak/child_process.hpp"

#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <stdexcept>

namespace calicograde::soak {
namespace {

constexpr int first_descriptor = 3;
constexpr int aside = 1000;  // numbers that nothing else has, so that no descriptor takes another's place

}  // namespace

std::pair<net::Fd, net::Fd> message_channel() {
  int both[2];
  if (::socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, both) != 0)
    throw std::runtime_error("no socket pair is left");
  return {net::Fd(both[0]), net::Fd(both[1])};
}

pid_t start_child(std::vector<std::string> words, const std::vector<int>& descriptors) {
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const auto count = static_cast<int>(descriptors.size());
  for (int k = 0; k < count; ++k)
    posix_spawn_file_actions_adddup2(&files, descriptors[static_cast<std::size_t>(k)], aside + k);
  for (int k = 0; k < count; ++k) {
    posix_spawn_file_actions_adddup2(&files, aside + k, first_descriptor + k);
    posix_spawn_file_actions_addclose(&files, aside + k);
  }
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, words[0].c_str(), &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("cannot start " + words[0]);
  return pid;
}

void kill_child(pid_t pid) {
  ::kill(pid, SIGKILL);
  net::retry_interrupted([&] { return ::waitpid(pid, nullptr, 0); });
}

void end_with_parent() {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  signal(SIGPIPE, SIG_IGN);
}

}  // namespace calicograde::soak
