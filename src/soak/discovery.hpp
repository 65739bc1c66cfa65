#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "lab/platform_standin.hpp"
#include "soak/journal.hpp"

// Discovery as one node's machine sees it: the list of engines, and an agent for each node.
namespace calicograde::soak {

// The versions of the list. Thread-safe.
class EngineList {
 public:
  struct Entry {
    std::uint64_t version = 0;
    Lifecycle lifecycle = Lifecycle::Ready;
    std::string host_port, machine_type;
    std::int64_t started_at_ms = 0;
    Instant changed;
  };
  void change(std::size_t engine, Entry entry);  // under the next version
  std::map<std::size_t, Entry> since(std::uint64_t version) const;
  std::uint64_t version() const;
  // Until there is a newer version than that, or so much time has passed.
  void wait_for_newer(std::uint64_t version, Span most) const;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::map<std::size_t, Entry> entries_;
  std::uint64_t version_ = 0;
};

// Answers one node. Each change counts as told from when it was written to that node, and at the latest from
// when the protocol says so.
class DiscoveryAgent {
 public:
  DiscoveryAgent(std::size_t node, const EngineList& list, Journal& journal);
  ~DiscoveryAgent();
  std::string address() const { return server_.address(); }
  std::string whole_list() const;

  void down(bool on);
  void crowded(bool on);
  void silence_watches();  // those that are open
  void reset_watches();
  void node_starts();  // what the agent has counts as told to a new process from its first moment
  // Changes from then on count as told whether or not they were written; until the last one of a node is
  // over.
  void run_deadlines();  // to be called now and then

 private:
  void serve(net::Stream stream);
  void follow(http::ServerConnection& connection, std::uint64_t known);
  static std::string document(const std::map<std::size_t, EngineList::Entry>& entries, std::uint64_t version,
                              bool whole);
  void told(const std::map<std::size_t, EngineList::Entry>& entries, Instant at);

  const std::size_t node_;
  const EngineList& list_;
  Journal& journal_;
  std::atomic<bool> down_ = false, crowded_ = false, stopping_ = false;
  std::atomic<int> silenced_ = 0;  // watches that were opened before that count bring nothing more
  std::atomic<int> opened_ = 0;
  std::mutex mutex_;
  std::map<std::size_t, std::uint64_t> told_versions_;
  Instant
      troubled_until_;  // while it is down, and for the time that the protocol allows after other troubles
  lab::LoopbackServer server_;
};

}  // namespace calicograde::soak
