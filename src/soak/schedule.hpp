#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.hpp"

// What goes wrong during one soak run, and when. The same seed gives the same schedule.
namespace calicograde::soak {

enum class Trouble {
  Sigterm,           // a node is told to end while its clients go on, and is started again
  Sighup,            // a node's configuration moves discovery to another address
  Sigkill,           // a node is killed and started again
  EngineDrain,       // discovery tells that an engine drains; later it is ready again
  EngineGone,        // discovery tells that an engine has gone; later it is back, freshly started
  DiscoveryDown,     // a node's discovery agent accepts connections and says nothing, and learns nothing
  DiscoveryCrowded,  // a node's discovery agent answers late
  WatchSilent,       // open watches stay open and bring nothing more
  WatchReset,        // open watches are reset
  LinkSilent,        // connections that a node made fall silent: nothing arrives, nothing comes
  LateHandshake,     // connections that a node makes come up late
  EngineHang,        // an engine takes requests and answers none until it goes on
  EngineStop,     // an engine's process is stopped: the kernel takes what is sent to it, the engine nothing
  RoleStop,       // all engines of one role but one are stopped so
  EngineBusy,     // a decode engine runs, and takes long until its first tokens
  EngineRestart,  // an engine drops its connections and all that it held
  AnswerCut,      // an engine breaks answers off, before and after their first event
  AnswerDoubled,  // an engine sends a second answer behind the first
  ClientLeaves,   // clients close their connections while they wait
  ClientStops,    // clients stop in mid-request and stay
  HalfRequests,   // a crowd of clients does so at once
  NodeStop,       // a node's process is stopped for a tenth of a second, again and again
  RetryStorm,     // clients that were refused or failed ask again at once, several times
  DescriptorsUsedUp,   // idle connections use up a node's share of descriptors
  WallClockStep,       // a node's wall clock is an hour off, from the start or from some moment on
  SystemCalls,         // a node's system calls are interrupted, shortened, or fail for a moment
  LinkBroken,          // connections that a node made break with ETIMEDOUT or EHOSTUNREACH
  HoldUp,              // a node is held up for 0.15 s before some of its writes
  LinkFaults,          // the proxy before the engines silences, delays, cuts or resets some connections
  DiskError,           // a node's reads of its configuration fail
  EngineTakesNothing,  // an engine's streams go on, and it begins no request
  Count
};
constexpr std::size_t trouble_count = static_cast<std::size_t>(Trouble::Count);
const char* name_of(Trouble trouble);

// One trouble: when, since the run's start, and whom it concerns.
struct Window {
  Trouble trouble = Trouble::Sigterm;
  Span from, length;
  std::size_t node = 0, engine = 0;
  Span until() const { return from + length; }
};

struct Schedule {
  std::uint64_t seed = 0;
  std::size_t nodes = 0, engines = 0;
  Span length;
  std::vector<Window> windows;  // by start

  bool holds(Trouble trouble, std::size_t node_or_engine, Span at) const;
  // The rules of the fault library for a node that is started so long after the run's start.
  std::string faults_of(std::size_t node, Span started) const;
};

// Several groups of two to four troubles, all of one group at the same time.
// `only`: of these; none = of all.
Schedule make_schedule(std::uint64_t seed, std::size_t nodes, std::size_t engines, Span length,
                       const std::vector<Trouble>& only = {});
// None where there is no trouble of that name.
std::optional<Trouble> trouble_named(const std::string& name);
std::string text_of(const Schedule& schedule);

// How often each two troubles overlapped in time.
using PairCounts = std::map<std::pair<Trouble, Trouble>, int>;
void count_pairs(const Schedule& schedule, PairCounts& counts);
std::string table_of(const PairCounts& counts);

}  // namespace calicograde::soak
