#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "platform/names.hpp"
#include "platform/registry.hpp"

// What a front node is told at its start (the platform's DEPLOY page): one JSON object. Free of I/O.
namespace calicograde::platform {

// The text names the key and how to mend it.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The file is there, but could not be read for now.
struct ConfigUnreadable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct NodeConfig {
  std::string name, listen, discovery;
  std::uint64_t seed = 0;
  double cores = 1;
  std::size_t memory_mb = 0, descriptors = 0;
  Decoded told;
  std::vector<Span> give_up;  // by route: how long a client waits in all, for all its tries
  Span drain_grace;           // nothing new to an engine so long after this node was told that it drains
  Listing known;              // may be old
};
// Throws ConfigError.
NodeConfig read_config(std::string_view text);

// How the limits are divided. Descriptors: every connection of a client, every link to an engine, and a rest
// for the listener, the registry's links (two while one is left for another), the log, signals and spares.
struct Shares {
  std::size_t connections = 0;            // of clients, idle ones included
  std::size_t inferences = 0;             // in work at once
  std::size_t links = 0;                  // to engines, in use and idle
  std::size_t idle_links = 0;             // of these
  std::size_t sends = 0, short_asks = 0;  // threads
  std::size_t request_bytes = 0;          // of all heads and bodies held at once
  std::size_t stack = 0;                  // bytes, of a thread
};
Shares divide(const NodeConfig& config);

}  // namespace calicograde::platform
