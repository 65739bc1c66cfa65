#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.hpp"

// What was seen on the sockets of a soak run, by the clients, engines and discovery agents that the run
// itself consists of. No node's own word is among it.
namespace calicograde::soak {

enum class Effect { Retriable, Deduped, NonRetriable };
enum class Role { Prefill, Decode };
enum class Lifecycle { Ready, Draining, Gone };

// A client has written a request's last byte.
struct RequestSent {
  std::string id;
  std::size_t node = 0;
  Effect effect = Effect::Retriable;
  Instant at, deadline;
};
enum class AnswerKind {
  Stream,       // 200, to its last chunk
  CutStream,    // 200, the connection ended before the last chunk
  Refused,      // 429 or 503
  Failed,       // any other status
  NoAnswer,     // the connection ended without one
  Silence,      // none came until the client gave up waiting
  ClientLeft,   // the client closed its connection first
  NotReceived,  // a connection that had rested ended before it had been read from: the client asks again
};
const char* name_of(AnswerKind kind);
struct RequestEnded {
  std::string id;
  Instant at;
  AnswerKind kind = AnswerKind::NoAnswer;
  std::string body;
  std::vector<Instant> events_read = {};  // when each event of its stream had come whole
  // Of its connection: since when it was open, the client's port, and all that was written on it up to the
  // request's last byte.
  Instant connected = {};
  unsigned short port = 0;
  std::size_t bytes_written = 0;
};
// An attempt's last byte has reached an engine that runs.
struct AttemptBegan {
  std::string id;
  std::size_t engine = 0;
  std::uint64_t attempt = 0;  // counted over the run, from 1
  Role role = Role::Prefill;
  Instant at;
  std::optional<Span> told_wait = {};    // for how long the node says that it will wait
  std::optional<Instant> received = {};  // its last byte, by the engine's machine, where that is known
};
struct AttemptEnded {
  std::string id;
  std::uint64_t attempt = 0;
  Instant at;
  bool ran = false;     // with its effect
  std::string stream;   // the bytes of the events that it was to consist of; empty = none
  bool broken = false;  // the engine itself broke it off
  std::vector<Instant> events_written = {};
};
// A state or a place is held for a request, or no longer.
struct HoldBegan {
  std::string id;
  std::size_t engine = 0;
  Instant at;
};
struct HoldEnded {
  std::string id;
  std::size_t engine = 0;
  Instant at;
};
// What a node counts as told of an engine from then on.
struct LifecycleTold {
  std::size_t node = 0, engine = 0;
  std::uint64_t version = 0;  // of the list
  Lifecycle lifecycle = Lifecycle::Ready;
  Instant at;
};
// An engine's process was stopped: what is sent to it stays with the kernel until it goes on.
struct EngineStopped {
  std::size_t engine = 0;
  Instant at;
};
// Discovery lists it as freshly started, from that version of the list on.
struct EngineStarted {
  std::size_t engine = 0;
  std::uint64_t version = 0;
  Role role = Role::Prefill;
  Instant at;
};
struct EngineWentOn {
  std::size_t engine = 0;
  Instant at;
};
struct NodeStarted {
  std::size_t node = 0;
  Instant at;
};
struct NodeReady {
  std::size_t node = 0;
  Instant at;
};
// It was sent SIGTERM for the first time.
struct NodeTerminated {
  std::size_t node = 0;
  Instant at;
};
// A node has ended its sending on a client's connection, or the connection: what it had read of it by then.
struct ConnectionEnded {
  std::size_t node = 0;
  unsigned short port = 0;  // the client's
  std::size_t bytes_read = 0;
  Instant at;
};
// A client has stopped in the middle of a request and stays.
struct HalfRequest {
  std::size_t node = 0;
  Instant at;
  std::optional<Instant> ended = {};  // it was given an answer, or its connection was closed
};
enum class NodeEnd { Killed, AfterSigterm, KilledAfterSigterm, Crashed };
struct NodeEnded {
  std::size_t node = 0;
  Instant at;
  NodeEnd how = NodeEnd::Killed;
  int status = 0;
};
using Entry = std::variant<RequestSent, RequestEnded, AttemptBegan, AttemptEnded, HoldBegan, HoldEnded,
                           LifecycleTold, EngineStopped, EngineStarted, EngineWentOn, NodeStarted, NodeReady,
                           NodeTerminated, NodeEnded, ConnectionEnded, HalfRequest>;

// What it took to answer the requests of a run.
struct Cost {
  std::size_t requests = 0, reads = 0, decode_attempts = 0, streams = 0;
  Span mean_first_token;  // of the streams
};
Cost cost_of(const std::vector<Entry>& entries);

// What was seen of one request, a line each; times are counted from `zero`.
std::string story_of(const std::vector<Entry>& entries, const std::string& id, Instant zero);

// Thread-safe.
class Journal {
 public:
  void add(Entry entry);
  std::vector<Entry> all() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Entry> entries_;
};

}  // namespace calicograde::soak
