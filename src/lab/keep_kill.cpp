#include "lab/keep_kill.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <random>
#include <set>

#include "keep/store.hpp"

namespace calicograde::lab {
namespace {

// Marks and takes snapshots until it is killed; tells of each mark once it is on disk.
[[noreturn]] void live(const std::string& folder, int life, int out) {
  keep::Folder disk(folder);
  keep::Store store(disk);
  keep::State state = store.load("front").state;
  for (int k = 0;; ++k) {
    const std::string key = std::to_string(life) + "-" + std::to_string(k);
    const keep::Mark mark{"pay", key, 1000 + k, true, false, false};
    if (store.mark({mark}).empty()) {
      const std::string line = key + "\n";
      if (::write(out, line.data(), line.size()) != static_cast<ssize_t>(line.size())) ::_exit(2);
    }
    state.marks.push_back(mark);
    std::uint64_t number = 0;
    if (k % 7 == 6 && store.rotate(number).empty()) {
      state.wall_ms = life * 1000000LL + k;
      store.snapshot(number, state);
    }
  }
}

}  // namespace

int keep_kill(const std::string& folder, int times, unsigned seed) {
  std::mt19937 chance(seed);
  std::set<std::string> acknowledged;
  std::size_t lost = 0, torn = 0, none = 0, set_aside = 0;
  for (int life = 1; life <= times; ++life) {
    int pipe[2];
    if (::pipe(pipe) != 0) return 3;
    const int pid = ::fork();
    if (pid == 0) {
      ::close(pipe[0]);
      live(folder, life, pipe[1]);
    }
    ::close(pipe[1]);
    ::usleep(std::uniform_int_distribution<useconds_t>(200, 12000)(chance));
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    std::string heard;
    char piece[4096];
    for (ssize_t n = 0; (n = ::read(pipe[0], piece, sizeof piece)) > 0;)
      heard.append(piece, static_cast<std::size_t>(n));
    ::close(pipe[0]);
    for (std::size_t at = 0, end = 0; (end = heard.find('\n', at)) != std::string::npos; at = end + 1)
      acknowledged.insert(heard.substr(at, end - at));
    keep::Folder disk(folder);
    keep::Store store(disk);
    const auto loaded = store.load("front");
    none += !loaded.any;
    for (const auto& note : loaded.notes) note.find("cut off") != std::string::npos ? ++torn : ++set_aside;
    std::set<std::string> there;
    for (const auto& m : loaded.state.marks) there.insert(m.key);
    for (const auto& key : acknowledged) lost += !there.contains(key);
  }
  std::printf(
      "| figure | value |\n| --- | --- |\n| killed at random moments | %d times |\n| marks acknowledged | "
      "%zu |\n| marks "
      "lost | %zu |\n| starts without a snapshot (killed before the first) | %zu |\n| torn ends of logs cut "
      "| %zu |\n| "
      "files set aside | %zu |\n",
      times, acknowledged.size(), lost, none, torn, set_aside);
  return lost > 0 || set_aside > 0 ? 1 : 0;
}

}  // namespace calicograde::lab
