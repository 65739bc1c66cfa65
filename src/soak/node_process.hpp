#pragma once

#include <sys/types.h>

#include <filesystem>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "net/socket.hpp"
#include "soak/journal.hpp"
#include "soak/run_settings.hpp"

namespace calicograde::soak {

// What all nodes of a run are started with.
struct NodeProgram {
  std::string daemon;         // calicograded
  std::string fault_library;  // empty = none is loaded
  std::filesystem::path folder;
  RunSettings settings;
};

// One front node as a process of its own, started again and again. Thread-safe.
class NodeProcess {
 public:
  NodeProcess(std::size_t number, const NodeProgram& program, Journal& journal);
  ~NodeProcess();  // kills it

  // Writes its configuration; where it runs, it takes effect with SIGHUP.
  void configure(const std::string& discovery, const std::string& known);
  void start(const std::string& faults);
  void hang_up();      // SIGHUP
  void terminate();    // SIGTERM, also once more; poll() kills it at the protocol's earliest after the first
  void kill();         // SIGKILL
  void stop(bool on);  // SIGSTOP, or SIGCONT
  void poll();         // looks whether it has become ready or has ended
  bool running() const;
  bool ended() const { return !running(); }

  // Where clients reach it; none while they must not connect.
  std::optional<net::Address> address() const;
  // Counts starts: a connection to an earlier process is of no use any more.
  int generation() const;
  std::string log_text() const;  // of all its processes
  // What the fault library has seen of clients' connections; nothing where none is loaded.
  std::vector<ConnectionEnded> connections_ended() const;

 private:
  std::string log_of(int generation) const;
  std::string connections_of(int generation) const;
  void note_end(int status);

  const std::size_t number_;
  const NodeProgram program_;
  Journal& journal_;
  mutable std::mutex mutex_;
  pid_t pid_ = 0;
  int generation_ = 0;
  bool killed_ = false, overdue_ = false;  // overdue: killed since it did not end after SIGTERM
  std::optional<net::Address> address_;
  std::optional<Instant> terminated_;
};

}  // namespace calicograde::soak
