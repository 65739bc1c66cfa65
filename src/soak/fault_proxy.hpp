#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "net/socket.hpp"

// A proxy between front nodes and engines, or between clients and nodes, as a process of its own. Its kernel
// accepts connections and acknowledges bytes whatever becomes of them: an acknowledgement by a proxy is no
// arrival.
namespace calicograde::soak {

enum class ProxyFault : unsigned char {
  None,
  Silence,    // a connection takes everything, and nothing goes on or comes back
  Delay,      // bytes come late
  Pieces,     // bytes come a few at a time
  Reset,      // a connection is reset in the middle of a message
  HalfBytes,  // the first half of what comes is passed on, then the connection falls silent
  LateStart,  // a new connection is served late
};
constexpr std::size_t proxy_faults = 7;
const char* name_of(ProxyFault fault);

// To the proxy's process, over a SOCK_SEQPACKET pair: from now on connections have that fault, with a chance.
struct ProxyCommand {
  ProxyFault fault = ProxyFault::None;
  double chance = 0;
};

// The parent's end.
class FaultProxy {
 public:
  // In front of each target, in their order. Throws std::runtime_error where it can't be started.
  FaultProxy(const std::string& program, const std::vector<std::string>& targets, std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;
  std::string address(std::size_t target) const { return "127.0.0.1:" + std::to_string(ports_[target]); }
  void set(ProxyFault fault, double chance);

 private:
  pid_t pid_ = 0;
  net::Fd commands_;
  std::vector<unsigned short> ports_;
};

// The main function of a proxy's process: it writes its ports to the descriptor of commands, then heeds them.
int run_proxy(const std::vector<std::string>& targets, std::uint64_t seed);

}  // namespace calicograde::soak
