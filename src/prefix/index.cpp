#include "prefix/index.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace calicograde::prefix {
namespace {

constexpr std::size_t seen_kept = 32, seen_wanted = 4;
constexpr double room_if_unseen = 0.8;          // of an engine's memory, that texts are kept in
constexpr double surely = 0.75, hardly = 1.25;  // of the reach: before it all is there, after it nothing
constexpr double least_likely = 0.05;
constexpr std::uint32_t lost_blocks = 4;  // expected and not found: too many for an ordinary eviction
constexpr double lost_likely = 0.95;
constexpr std::uint32_t slack_blocks = 1;  // what rounding of tokens to blocks may cost

}  // namespace

void Cutter::add(std::string_view text) {
  const auto name = [this](std::string_view block) {
    const BlockName before = chain_.empty() ? 0 : chain_.back();
    BlockName n = XXH3_64bits_withSeed(block.data(), block.size(), before);
    chain_.push_back(n == 0 ? 1 : n);  // 0 is the opening
  };
  if (!rest_.empty()) {
    const auto part = text.substr(0, block_bytes_ - rest_.size());
    rest_ += part, text.remove_prefix(part.size());
    if (rest_.size() < block_bytes_) return;
    name(rest_), rest_.clear();
  }
  for (; text.size() >= block_bytes_; text.remove_prefix(block_bytes_)) name(text.substr(0, block_bytes_));
  rest_ = text;
}

Index::Index(Limits limits) : limits_(limits) {
  nodes_.emplace_back();  // the opening: no blocks, kept by all
}

// ---- engines

const Index::Box* Index::box_of(const EngineId& engine) const {
  const auto it = slots_.find(engine);
  return it == slots_.end() ? nullptr : &boxes_[it->second];
}

Index::Slot Index::slot_of(const EngineId& engine) {
  if (const auto it = slots_.find(engine); it != slots_.end()) return it->second;
  Box fresh;
  fresh.id = engine, fresh.listed = true;
  fresh.memory = limits_.memory_if_not_told / std::max(1, limits_.fronts);
  // Slots given up are used again once all are: then whatever still names them is swept out.
  if (boxes_.size() >= limits_.engines) {
    for (auto& n : nodes_) std::erase_if(n.kept, [&](const Presence& p) { return !boxes_[p.slot].listed; });
    for (std::size_t k = 0; k < boxes_.size(); ++k)
      if (!boxes_[k].listed) {
        boxes_[k] = fresh;
        return slots_[engine] = static_cast<Slot>(k);
      }
    return static_cast<Slot>(boxes_.size());  // more engines than slots: of the last ones nothing is known
  }
  boxes_.push_back(std::move(fresh));
  return slots_[engine] = static_cast<Slot>(boxes_.size() - 1);
}

void Index::listed(const EngineId& engine, std::uint64_t incarnation, double memory_tokens) {
  const Box* known = box_of(engine);
  if (known && known->incarnation != incarnation) {
    forget(engine);
    // Its events, if it sends any, begin anew as well.
    if (const auto it = slots_.find(engine); it != slots_.end())
      boxes_[it->second].telling = boxes_[it->second].gap = false, boxes_[it->second].next = 0;
  }
  const Slot slot = slot_of(engine);
  if (slot >= boxes_.size()) return;
  Box& b = boxes_[slot];
  b.incarnation = incarnation;
  b.memory = (memory_tokens > 0 ? memory_tokens : limits_.memory_if_not_told) / std::max(1, limits_.fronts);
  b.reach.reset();
}

void Index::gone(const EngineId& engine) {
  const auto it = slots_.find(engine);
  if (it == slots_.end()) return;
  boxes_[it->second].listed = false;
  slots_.erase(it);
}

// The slot is given up rather than every node searched for it.
void Index::forget(const EngineId& engine) {
  const auto it = slots_.find(engine);
  if (it == slots_.end()) return;
  Box old = boxes_[it->second];
  if (old.nodes == 0) {
    boxes_[it->second].odometer = 0;
    return;
  }
  gone(engine);
  const Slot fresh = slot_of(engine);
  if (fresh >= boxes_.size()) return;
  old.listed = true, old.odometer = 0, old.nodes = 0;
  boxes_[fresh] = std::move(old);
}

void Index::unheard(const EngineId& engine) {
  const auto it = slots_.find(engine);
  if (it != slots_.end() && boxes_[it->second].telling) boxes_[it->second].gap = true;
}

bool Index::tells(const EngineId& engine) const {
  const Box* b = box_of(engine);
  return b && b->tells();
}

// ---- the tree

Index::NodeId Index::make(NodeId parent, std::uint32_t depth) {
  NodeId id;
  if (!free_.empty()) {
    id = free_.back(), free_.pop_back();
    nodes_[id] = {};
  } else {
    id = static_cast<NodeId>(nodes_.size());
    nodes_.emplace_back();
  }
  nodes_[id].parent = parent, nodes_[id].depth = depth;
  nodes_[parent].children.push_back(id);
  return id;
}

void Index::unlink(NodeId id) {
  Node& n = nodes_[id];
  (n.newer == none ? newest_ : nodes_[n.newer].older) = n.older;
  (n.older == none ? oldest_ : nodes_[n.older].newer) = n.newer;
  n.newer = n.older = none;
}

void Index::to_front(NodeId id) {
  Node& n = nodes_[id];
  if (newest_ == id) return;
  if (n.newer != none || n.older != none || oldest_ == id) unlink(id);
  n.older = newest_;
  if (newest_ != none) nodes_[newest_].newer = id;
  newest_ = id;
  if (oldest_ == none) oldest_ = id;
}

// From the leaf up, so that no node is older than what hangs below it.
void Index::touch(NodeId id) {
  for (; id != root; id = nodes_[id].parent) to_front(id);
}

void Index::remove(NodeId id) {
  Node& n = nodes_[id];
  for (const BlockName b : n.run) places_.erase(b);
  blocks_ -= n.run.size();
  for (const auto& p : n.kept)
    if (boxes_[p.slot].nodes > 0) --boxes_[p.slot].nodes;
  unlink(id);
  std::erase(nodes_[n.parent].children, id);
  n = {};
  free_.push_back(id);
}

void Index::make_room() {
  while (blocks_ > limits_.blocks && oldest_ != none) {
    // The oldest is a leaf; should a long run be all there is, its end goes first.
    Node& n = nodes_[oldest_];
    const std::size_t over = blocks_ - limits_.blocks;
    if (oldest_ == newest_ && n.run.size() > over) {
      const auto keep = static_cast<std::uint32_t>(n.run.size() - over);
      for (std::size_t k = keep; k < n.run.size(); ++k) places_.erase(n.run[k]);
      n.run.resize(keep), blocks_ -= over;
      for (auto& p : n.kept) p.blocks = std::min(p.blocks, keep);
      return;
    }
    remove(oldest_);
  }
}

void Index::split(NodeId id, std::uint32_t at) {
  const NodeId below = make(id, nodes_[id].depth + at);
  Node &n = nodes_[id], &m = nodes_[below];
  m.run.assign(n.run.begin() + at, n.run.end()), n.run.resize(at);
  n.run.shrink_to_fit();
  for (std::size_t k = 0; k < m.run.size(); ++k) places_[m.run[k]] = {below, static_cast<std::uint32_t>(k)};
  m.children = std::exchange(n.children, {below});
  std::erase(m.children, below);
  for (const NodeId c : m.children) nodes_[c].parent = below;
  for (auto& p : n.kept)
    if (p.blocks > at) {
      m.kept.push_back({p.slot, p.blocks - at, p.pushed});
      ++boxes_[p.slot].nodes;
      p.blocks = at;
    }
  // Just older than what stands above it.
  m.newer = id, m.older = n.older;
  if (n.older != none) nodes_[n.older].newer = below;
  else oldest_ = below;
  n.older = below;
}

// How many blocks of the run the chain shares. Names hold all before them, so equality goes down once.
std::uint32_t Index::common(const Node& n, const Chain& chain) const {
  const std::size_t most = std::min<std::size_t>(n.run.size(), chain.size() - n.depth);
  if (most > 0 && n.run[most - 1] == chain[n.depth + most - 1]) return static_cast<std::uint32_t>(most);
  std::size_t low = 0, high = most;  // low fits, high does not
  while (low < high) {
    const std::size_t mid = (low + high) / 2;
    if (n.run[mid] == chain[n.depth + mid]) low = mid + 1;
    else high = mid;
  }
  return static_cast<std::uint32_t>(low);
}

template <class At>
std::pair<Index::NodeId, std::uint32_t> Index::walk(const Chain& chain, const At& at) const {
  NodeId id = root;
  std::uint32_t fits = 0;
  for (std::size_t pos = 0; pos < chain.size();) {
    const auto next = places_.find(chain[pos]);
    if (next == places_.end() || next->second.at != 0 || nodes_[next->second.node].parent != id) break;
    id = next->second.node;
    fits = common(nodes_[id], chain);
    at(id, fits);
    pos += fits;
    if (fits < nodes_[id].run.size()) break;
  }
  return {id, fits};
}

Index::NodeId Index::reach(const Chain& chain) {
  const std::size_t blocks = chain.size();
  auto [id, fits] = walk(chain, [](NodeId, std::uint32_t) {});
  const std::size_t known = id == root ? 0 : nodes_[id].depth + fits;
  // Known beyond, or another way goes on from within the run.
  if (id != root && fits < nodes_[id].run.size()) split(id, fits);
  if (known >= blocks) return id;
  // A leaf grows; from anywhere else a new run begins.
  if (id == root || !nodes_[id].children.empty()) id = make(id, static_cast<std::uint32_t>(known));
  Node& n = nodes_[id];
  n.run.reserve(n.run.size() + blocks - known);
  for (std::size_t k = known; k < blocks; ++k) {
    places_[chain[k]] = {id, static_cast<std::uint32_t>(n.run.size())};
    n.run.push_back(chain[k]);
  }
  blocks_ += blocks - known;
  return id;
}

void Index::hold(NodeId id, Slot slot, std::uint32_t blocks, double pushed) {
  auto& kept = nodes_[id].kept;
  const auto it =
      std::lower_bound(kept.begin(), kept.end(), slot, [](const Presence& p, Slot s) { return p.slot < s; });
  if (it != kept.end() && it->slot == slot) {
    it->blocks = std::max(it->blocks, blocks), it->pushed = static_cast<float>(pushed);
    return;
  }
  kept.insert(it, {slot, blocks, static_cast<float>(pushed)});
  ++boxes_[slot].nodes;
}

void Index::hold_whole(const Chain& chain, Slot slot) {
  const NodeId last = reach(chain);
  // Each run on the way ends where the next begins, and the last one where the chain does.
  for (NodeId id = last; id != root; id = nodes_[id].parent)
    hold(id, slot, static_cast<std::uint32_t>(nodes_[id].run.size()), boxes_[slot].odometer);
  touch(last);
  make_room();
}

void Index::drop_below(NodeId id, Slot slot) {
  std::vector<NodeId> todo(nodes_[id].children);
  while (!todo.empty()) {
    const NodeId c = todo.back();
    todo.pop_back();
    // Who keeps nothing of a run keeps nothing below it.
    if (std::erase_if(nodes_[c].kept, [&](const Presence& p) { return p.slot == slot; }) == 0) continue;
    if (boxes_[slot].nodes > 0) --boxes_[slot].nodes;
    todo.insert(todo.end(), nodes_[c].children.begin(), nodes_[c].children.end());
  }
}

void Index::cut(NodeId id, Slot slot, std::uint32_t blocks) {
  auto& kept = nodes_[id].kept;
  const auto it = std::find_if(kept.begin(), kept.end(), [&](const Presence& p) { return p.slot == slot; });
  if (it == kept.end()) return;
  const bool whole = it->blocks == nodes_[id].run.size();
  if (blocks >= it->blocks) return;
  it->blocks = blocks;
  if (blocks == 0) {
    kept.erase(it);
    if (boxes_[slot].nodes > 0) --boxes_[slot].nodes;
  }
  if (whole) drop_below(id, slot);
}

// ---- knowledge

// How far back on its odometer an engine's memory reaches: the distance that tells best those texts that were
// still there from those that were not.
double Index::reach_of(const Box& b) const {
  const double untold = b.memory * room_if_unseen;
  if (b.seen.size() < seen_wanted) return untold;
  double most_there = 0, least_gone = std::numeric_limits<double>::infinity();
  for (const auto& [distance, there] : b.seen)
    if (there) most_there = std::max(most_there, distance);
    else least_gone = std::min(least_gone, distance);
  if (least_gone == std::numeric_limits<double>::infinity()) return std::max(untold, most_there);
  if (most_there == 0) return least_gone / 2;
  if (most_there < least_gone) return (most_there + least_gone) / 2;
  double reach = untold;
  long best = -1;
  for (const auto& [edge, unused] : b.seen) {
    const auto right = std::count_if(b.seen.begin(), b.seen.end(),
                                     [e = edge](const auto& s) { return s.second == (s.first <= e); });
    if (right > best) best = right, reach = edge;
  }
  return reach;
}

double Index::likely(const Box& b, double distance) const {
  if (!b.reach) b.reach = reach_of(b);
  if (*b.reach <= 0) return least_likely;
  return std::clamp((hardly - distance / *b.reach) / (hardly - surely), least_likely, 1.0);
}

std::vector<Kept> Index::look_up(const Chain& chain) const {
  struct Found {
    std::uint32_t blocks = 0;
    float pushed = 0;
  };
  std::vector<Found> found(boxes_.size());
  walk(chain, [&](NodeId id, std::uint32_t fits) {
    const Node& n = nodes_[id];
    for (const auto& p : n.kept) found[p.slot] = {n.depth + std::min(p.blocks, fits), p.pushed};
  });
  std::vector<Kept> out;
  for (std::size_t k = 0; k < found.size(); ++k) {
    const Box& b = boxes_[k];
    if (found[k].blocks == 0 || !b.listed) continue;
    const bool told = b.tells();
    out.push_back({b.id, found[k].blocks,
                   told ? 1.0 : likely(b, b.odometer - static_cast<double>(found[k].pushed)), told});
  }
  return out;
}

void Index::read(const EngineId& engine, const Chain& chain, double tokens, std::optional<double> found,
                 std::uint32_t expected) {
  Slot slot = slot_of(engine);
  if (slot >= boxes_.size() || chain.empty()) return;
  const double each = std::max(1.0, tokens) / static_cast<double>(chain.size());
  const auto there = found ? static_cast<std::uint32_t>(std::lround(*found / each)) : expected;
  if (found && expected > 0) {
    // Where on its odometer the part that was looked for was touched last.
    float pushed = 0;
    bool any = false;
    walk(chain, [&](NodeId id, std::uint32_t) {
      for (const auto& p : nodes_[id].kept)
        if (p.slot == slot) pushed = p.pushed, any = true;
    });
    Box& b = boxes_[slot];
    const double distance = b.odometer - static_cast<double>(pushed);
    const bool kept = there + slack_blocks >= expected;
    if (any && !kept && there <= slack_blocks && expected >= lost_blocks &&
        likely(b, distance) >= lost_likely) {
      // It has lost what can't have been pushed out: it has lost everything (a restart that nobody told of).
      forget(engine);
      slot = slot_of(engine);
      if (slot >= boxes_.size()) return;
    } else if (any) {
      b.reach.reset();
      b.seen.emplace_back(distance, kept);
      if (b.seen.size() > seen_kept) b.seen.pop_front();
    }
    if (!kept)
      walk(chain, [&](NodeId id, std::uint32_t) {
        const std::uint32_t depth = nodes_[id].depth;
        cut(id, slot, there > depth ? there - depth : 0);
      });
  }
  Box& b = boxes_[slot];
  b.odometer += std::max(0.0, tokens - (found ? *found : each * expected));
  if (b.tells()) return;  // its own word counts
  hold_whole(chain, slot);
}

// ---- an engine's own word

bool Index::heard(const EngineId& engine, const CacheEvent& e) {
  Slot slot = slot_of(engine);
  if (slot >= boxes_.size()) return true;
  if (!boxes_[slot].telling) {
    // What it kept before its first event that is heard is not known; a stream that begins at 0 has it all.
    if (e.number > 0) {
      boxes_[slot].telling = boxes_[slot].gap = true;
      return false;
    }
    forget(engine), slot = slot_of(engine);
    boxes_[slot].telling = true, boxes_[slot].next = 0;
  }
  Box& b = boxes_[slot];
  if (b.gap) return false;
  if (e.number < b.next) return true;  // doubled, or from before
  if (e.number > b.next) {
    b.gap = true;
    forget(engine);
    return false;
  }
  ++b.next;
  using What = CacheEvent::What;
  if (e.what == What::Cleared) {
    forget(engine);
    return true;
  }
  if (e.what == What::Removed) {
    for (const BlockName name : e.blocks)
      if (const auto at = places_.find(name); at != places_.end()) cut(at->second.node, slot, at->second.at);
    return true;
  }
  Place last{root, 0};
  if (e.after != 0) {
    const auto at = places_.find(e.after);
    // Its parent was forgotten here: where it belongs can't be told.
    if (at == places_.end()) return true;
    last = {at->second.node, at->second.at + 1};
  }
  for (const BlockName name : e.blocks) {
    auto at = places_.find(name);
    if (at == places_.end()) {
      NodeId id = last.node;
      if (id != root && last.at < nodes_[id].run.size()) split(id, last.at);
      if (id == root || !nodes_[id].children.empty())
        id = make(id, nodes_[id].depth + static_cast<std::uint32_t>(nodes_[id].run.size()));
      places_[name] = {id, static_cast<std::uint32_t>(nodes_[id].run.size())};
      nodes_[id].run.push_back(name), ++blocks_;
      at = places_.find(name);
    }
    last = {at->second.node, at->second.at + 1};
    // Kept without what stands before it, it is of no use.
    const Node& n = nodes_[last.node];
    const auto held = [&](NodeId id) {
      for (const auto& p : nodes_[id].kept)
        if (p.slot == slot) return p.blocks;
      return std::uint32_t{0};
    };
    const bool follows = last.at > 1 ? held(last.node) >= last.at - 1
                                     : n.parent == root || held(n.parent) == nodes_[n.parent].run.size();
    if (follows) hold(last.node, slot, last.at, b.odometer);
  }
  if (last.node != root) touch(last.node);
  make_room();
  return true;
}

void Index::synced(const EngineId& engine, std::uint64_t number, const std::vector<Chain>& kept) {
  forget(engine);
  const Slot slot = slot_of(engine);
  if (slot >= boxes_.size()) return;
  boxes_[slot].telling = true, boxes_[slot].gap = false, boxes_[slot].next = number;
  for (const Chain& c : kept) {
    if (!c.empty()) hold_whole(c, slot);
  }
}

// ---- through a restart

std::optional<std::size_t> Index::copy(std::size_t from, std::size_t most, std::vector<KeptRun>& out) const {
  std::size_t k = std::max<std::size_t>(1, from);
  for (const std::size_t end = k + most; k < nodes_.size() && k < end; ++k) {
    const Node& n = nodes_[k];
    if (n.run.empty()) continue;
    KeptRun r;
    r.after = n.parent == root ? 0 : nodes_[n.parent].run.back();
    r.depth = n.depth;
    for (const auto& p : n.kept) {
      const Box& b = boxes_[p.slot];
      if (b.listed && !b.tells())
        r.kept.push_back({b.id, p.blocks, b.odometer - static_cast<double>(p.pushed)});
    }
    if (r.kept.empty()) continue;
    r.blocks = n.run;
    out.push_back(std::move(r));
  }
  return k < nodes_.size() ? std::optional(k) : std::nullopt;
}

void Index::restore(const KeptRun& r) {
  if (r.blocks.empty() || r.kept.empty() || places_.contains(r.blocks.front())) return;
  NodeId parent = root;
  if (r.after != 0) {
    const auto at = places_.find(r.after);
    if (at == places_.end()) return;
    parent = at->second.node;
    // It ends a run, unless the runs are not of one tree.
    if (at->second.at + 1 != nodes_[parent].run.size() || nodes_[parent].depth + at->second.at + 1 != r.depth)
      return;
  } else if (r.depth != 0) {
    return;
  }
  const NodeId id = make(parent, r.depth);
  for (const BlockName name : r.blocks) {
    if (places_.contains(name)) break;
    places_[name] = {id, static_cast<std::uint32_t>(nodes_[id].run.size())};
    nodes_[id].run.push_back(name), ++blocks_;
  }
  for (const auto& part : r.kept) {
    const Slot slot = slot_of(part.engine);
    const auto blocks = std::min(part.blocks, static_cast<std::uint32_t>(nodes_[id].run.size()));
    if (slot < boxes_.size() && blocks > 0) hold(id, slot, blocks, boxes_[slot].odometer - part.distance);
  }
  touch(id);
  make_room();
}

double Index::taken_in(const EngineId& engine) const {
  const Box* b = box_of(engine);
  return b ? b->odometer : 0;
}

std::size_t Index::bytes() const {
  std::size_t n =
      nodes_.capacity() * sizeof(Node) + places_.bucket_count() * (sizeof(BlockName) + sizeof(Place) + 1);
  for (const auto& node : nodes_)
    n += node.run.capacity() * sizeof(BlockName) + node.children.capacity() * sizeof(NodeId) +
         node.kept.capacity() * sizeof(Presence);
  return n;
}

}  // namespace calicograde::prefix
