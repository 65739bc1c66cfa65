#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.hpp"

// The list of engines as a roster tells it, followed through full lists, deltas, gaps and restarts, and
// turned into what the module is told. Free of I/O and clocks. The format stands in docs/front.md, "The
// roster".
namespace calicograde::roster {

struct Line {
  std::string address;  // HOST:PORT
  std::string kind, zone, rack;
  std::string incarnation;  // another word at every start of the process
  std::optional<Span> age;  // since that start; none = long
  double size = 1;
  Lifecycle lifecycle = Lifecycle::Ready;
  std::uint32_t most = 0;  // sends of one front out at it; 0 = no bound
};
struct Document {
  std::uint64_t version = 0;
  bool full = true;
  std::uint64_t base = 0;  // of a delta: the version that it builds on
  std::vector<Line> lines;
  std::optional<std::vector<std::string>> fronts =
      {};  // by name, always all of them; none = it does not tell
};
// The document, or what is wrong with it and where.
std::variant<Document, std::string> parse(std::string_view json);
std::string text_of(const Document& document);

// A stable id for an address: IPv4 as it is; anything else by its hash, in 240.0.0.0/4, the same at every
// front. `taken` tells which address an id stands for already; a clash moves on to the next hash.
EngineId id_for(const std::string& address, const std::map<EngineId, std::string>& taken);

struct Followed {
  std::optional<FleetListed> listed;  // what to tell the module
  bool need_full = false;             // a gap: ask for the whole list
  std::string note;                   // for the log; empty if all is as usual
};

class Follower {
 public:
  Follower(std::vector<std::string> kinds, std::vector<std::string> zones)
      : kinds_(std::move(kinds)), zones_(std::move(zones)) {}
  Followed follow(Instant now, const Document& document);
  // The address of an engine that was ever listed; empty if none was.
  const std::string& address_of(const EngineId& id) const;
  const std::map<EngineId, std::string>& addresses() const { return addresses_; }
  // The word for its present process; empty if the roster gives none.
  std::string incarnation_of(const EngineId& id) const {
    const auto it = known_.find(id);
    return it == known_.end() ? std::string() : it->second.incarnation;
  }

 private:
  struct Known {
    std::string incarnation;
    std::optional<Instant> started;
  };
  std::optional<EngineEntry> entry_for(Instant now, const Line& line, std::string& note);
  std::vector<std::string> kinds_, zones_;
  std::map<EngineId, std::string> addresses_;
  std::map<std::string, EngineId> ids_;
  std::map<std::string, std::uint16_t> racks_;
  std::map<EngineId, Known> known_;
  std::uint64_t version_ = 0;
  bool any_ = false;
};

}  // namespace calicograde::roster
