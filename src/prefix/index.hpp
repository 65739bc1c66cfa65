#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.hpp"
#include "core/types.hpp"

// Which engine keeps how much of a prompt. Free of I/O and clocks; not thread-safe. The design weighed
// against others stands in docs/prefix.md.
namespace calicograde::prefix {

// A block is named by the hash of all that stands before its end, so one name says the whole prefix. 64 bits:
// a clash makes a choice worse, never an answer wrong.
using BlockName = std::uint64_t;
using Chain = std::vector<BlockName>;

// Cuts a prompt's text into whole blocks and names them; what is left over at the end has no name. Text is
// added in parts, so that a session's earlier blocks need not be hashed again.
class Cutter {
 public:
  explicit Cutter(std::size_t block_bytes) : block_bytes_(block_bytes) {}
  void add(std::string_view text);
  const Chain& chain() const { return chain_; }

 private:
  const std::size_t block_bytes_;
  std::string rest_;
  Chain chain_;
};

struct Limits {
  std::size_t blocks = 1 << 20;        // kept in all; the oldest prefixes are forgotten first
  std::size_t engines = 1024;          // that presence is kept of
  double memory_if_not_told = 200000;  // of an engine, in tokens
  int fronts = 1;                      // each sees its share of what an engine takes in
};

// How much of a prompt an engine is taken to keep.
struct Kept {
  EngineId engine;
  std::uint32_t blocks = 0;
  double likely = 1;  // that it still is there
  bool told = false;  // by the engine's own events, not worked out from sends
};

// What an engine's cache did, by its own word. Numbers of one incarnation go up by one.
struct CacheEvent {
  std::uint64_t number = 0;
  enum class What { Stored, Removed, Cleared } what = What::Stored;
  // Stored: `after` names the block before the first (0 = the prompt's opening), and blocks follow each
  // other.
  BlockName after = 0;
  std::vector<BlockName> blocks;
};

class Index {
 public:
  explicit Index(Limits limits);

  // An engine of the roster; another incarnation, or one that was gone, keeps nothing of what was known.
  void listed(const EngineId& engine, std::uint64_t incarnation, double memory_tokens);
  void gone(const EngineId& engine);
  // It has lost everything, whatever sign came first: a connection refused, a read with nothing kept, an
  // event stream that began anew.
  void forget(const EngineId& engine);

  // All engines that keep something of it, in one walk: by id.
  std::vector<Kept> look_up(const Chain& chain) const;

  // A read was sent, and has ended well: the engine keeps the whole prompt now. `found`: tokens that it
  // reported to have kept before, none if it does not tell; `tokens`: of the whole prompt. What was expected
  // is `expected` blocks, by the look-up before the send.
  void read(const EngineId& engine, const Chain& chain, double tokens, std::optional<double> found,
            std::uint32_t expected);

  // An engine's own word. False: events are missing, and a resync is to be asked for; until `synced` nothing
  // is known of it but what sends tell.
  bool heard(const EngineId& engine, const CacheEvent& event);
  // The whole of what it keeps, as chains of blocks from the opening on; the event that comes next has
  // `number`.
  void synced(const EngineId& engine, std::uint64_t number, const std::vector<Chain>& kept);
  // Its word can't be heard just now: what is known stays, and sends count again.
  void unheard(const EngineId& engine);
  bool tells(const EngineId& engine) const;

  // For what is kept through a restart: runs from the `from`-th on, at the most so many; where to go on, or
  // none at the end. What changes in between may be missed, never made up. Engines that tell by themselves
  // are left out: they tell anew.
  struct KeptRun {
    BlockName after = 0;  // the block before the first
    std::uint32_t depth = 0;
    std::vector<BlockName> blocks;
    struct Part {
      EngineId engine;
      std::uint32_t blocks = 0;
      double distance = 0;  // tokens taken in since it was touched
    };
    std::vector<Part> kept;
  };
  std::optional<std::size_t> copy(std::size_t from, std::size_t most, std::vector<KeptRun>& out) const;
  // Puts a run back, runs before it first; what does not fit is passed over.
  void restore(const KeptRun& run);
  double taken_in(const EngineId& engine) const;  // tokens, since it is known

  std::size_t blocks() const { return blocks_; }
  std::size_t bytes() const;  // about, of all that is kept

 private:
  using NodeId = std::uint32_t;
  using Slot = std::uint16_t;
  static constexpr NodeId none = 0xFFFFFFFF, root = 0;
  // A run of blocks without a branch, with where each engine's part of it ends.
  struct Presence {
    Slot slot = 0;
    std::uint32_t blocks = 0;  // of this run, from its beginning
    float pushed = 0;          // the engine's odometer when it was touched last
  };
  struct Node {
    NodeId parent = none, newer = none, older = none;
    std::uint32_t depth = 0;  // blocks before this run
    std::vector<BlockName> run;
    std::vector<NodeId> children;
    std::vector<Presence> kept;  // by slot
  };
  struct Place {
    NodeId node = none;
    std::uint32_t at = 0;
  };
  struct Box {
    EngineId id;
    std::uint64_t incarnation = 0;
    bool listed = false, telling = false, gap = false;
    std::uint64_t next = 0;  // number of the event that comes next
    double memory = 0;       // in tokens, as told or taken
    double odometer = 0;     // tokens that it has taken in since it began
    // Distances on the odometer at which a kept text was asked for, and whether it was still there.
    std::deque<std::pair<double, bool>> seen;
    mutable std::optional<double> reach;  // worked out from them when asked for
    std::size_t nodes = 0;
    bool tells() const { return telling && !gap; }
  };

  Slot slot_of(const EngineId& engine);
  const Box* box_of(const EngineId& engine) const;
  NodeId make(NodeId parent, std::uint32_t depth);
  void remove(NodeId id);
  void split(NodeId id, std::uint32_t at);
  // The node whose run ends exactly where the chain ends, made if need be.
  NodeId reach(const Chain& chain);
  // Walks down as far as the chain is known, calling `at` with each node and how much of its run fits.
  // Returns the last one.
  template <class At>
  std::pair<NodeId, std::uint32_t> walk(const Chain& chain, const At& at) const;
  std::uint32_t common(const Node& n, const Chain& chain) const;
  void touch(NodeId id);
  void to_front(NodeId id);
  void unlink(NodeId id);
  void hold(NodeId id, Slot slot, std::uint32_t blocks, double pushed);
  void hold_whole(const Chain& chain, Slot slot);
  void cut(NodeId id, Slot slot, std::uint32_t blocks);  // and all below it
  void drop_below(NodeId id, Slot slot);
  void make_room();
  double reach_of(const Box& box) const;
  double likely(const Box& box, double distance) const;

  const Limits limits_;
  std::vector<Node> nodes_;
  std::vector<NodeId> free_;
  boost::unordered_flat_map<BlockName, Place> places_;  // of every block
  NodeId newest_ = none, oldest_ = none;
  std::size_t blocks_ = 0;
  std::vector<Box> boxes_;
  std::map<EngineId, Slot> slots_;
};

}  // namespace calicograde::prefix
