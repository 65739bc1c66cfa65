#pragma once

#include <sys/types.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "soak/engine_channel.hpp"
#include "soak/held_state.hpp"

namespace calicograde::soak {

// An engine as a process of its own: it can be stopped (the kernel still takes connections and bytes for it),
// go on, and be killed. What it says is written to the journal here. For one thread.
class EngineProcess {
 public:
  // `program`: that runs an engine with --engine. Throws std::runtime_error where it can't be started.
  // `backlog`: of the connections that its kernel takes before the engine does.
  EngineProcess(std::size_t number, Role role, const std::string& program, int backlog, HeldState& held,
                Journal& journal, std::atomic<std::uint64_t>& attempts);
  ~EngineProcess();
  EngineProcess(const EngineProcess&) = delete;
  EngineProcess& operator=(const EngineProcess&) = delete;

  Role role() const { return role_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void stop();                                                    // SIGSTOP; counts how often
  void go_on();                                                   // SIGCONT once each stop has its end
  void set(EngineCommand::Fault fault, bool on, int millis = 0);  // kept over a restart
  void restart();  // SIGKILL, and a new process at the same address

 private:
  struct OpenAttempt {
    std::string id;
    bool reading = false, fetched = false;
  };
  void start();
  void kill_process();
  void listen_to_it(int descriptor);
  std::uint64_t take(const EngineCall& call);
  void end_read(std::uint64_t attempt);
  void end_all_attempts();
  void send(const EngineCommand& command) const;

  const std::size_t number_;
  const Role role_;
  const std::string program_;
  const int backlog_;
  HeldState& held_;
  Journal& journal_;
  std::atomic<std::uint64_t>& attempts_;
  pid_t pid_ = 0;
  net::Fd commands_;
  std::thread listener_;
  std::atomic<unsigned short> port_ = 0;
  std::map<EngineCommand::Fault, EngineCommand> faults_;
  int stops_ = 0;
  std::map<std::uint64_t, OpenAttempt> open_;  // the listener's alone while it runs
};

}  // namespace calicograde::soak
