#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/types.hpp"

// Whether a hall (a zone of the settings) is lost, judged from many weak signs, and how it is taken back.
// Above single inferences: it feeds the module with a list of engines in which those of a lost hall drain,
// and those that came back count as fresh. Free of I/O, clocks and threads; not thread-safe. docs/halls.md
// has the rules.
namespace calicograde::halls {

struct Rules {
  bool on = true;
  Span window = Span::millis(2000);  // in which signs count
  double lost_share = 0.6;           // of a hall's engines with signs, that must look lost
  std::size_t least_lost = 2;        // engines, or all where a hall has fewer
  Span first_hold = Span::millis(1000), most_hold = Span::millis(30000);  // out, before it is tried again
  Span flap_memory = Span::millis(60000);
  Span stage = Span::millis(1000);  // of the return, each with twice the engines
  double first_stage = 0.125;       // share of its engines
};

enum class State { Up, Lost, Returning };
enum class Sign { Answered, Refused, Silent, Broken };

// What is to be done: hand the module this list; look whether anything listens there.
struct Tell {
  FleetListed list;
};
struct Look {
  EngineId engine;
};
struct Note {
  std::string text;  // one log line a change, with figures
};
using Step = std::variant<Tell, Look, Note>;

class Halls {
 public:
  // `names` by the zones' numbers; `own`: this front's.
  Halls(Rules rules, std::vector<std::string> names, std::uint8_t own, std::uint64_t seed);

  // A list of the roster; the first step is what the module is told of it.
  std::vector<Step> listed(Instant now, const FleetListed& list);
  // What a send, or a look, met at an engine.
  std::vector<Step> met(Instant now, const EngineId& engine, Sign sign);
  std::vector<Step> tick(Instant now);
  // Held out by hand until it is let in again; it then returns in stages.
  std::vector<Step> hold_out(Instant now, std::uint8_t hall, bool out);
  // The same for one engine; an id that is not listed is kept in mind for when it is.
  std::vector<Step> hold_engine(const EngineId& engine, bool out);
  bool held_by_hand(const EngineId& engine) const { return by_hand_.contains(engine); }
  bool held_by_hand(std::uint8_t hall) const;

  State state(std::uint8_t hall) const;
  // Every hall that can be judged looks lost: it is this front that is cut off, and nothing is done.
  bool cut_off() const { return cut_off_; }
  bool withheld(const EngineId& engine) const;

 private:
  struct Box {
    EngineEntry entry;  // as the roster has it
    std::optional<Instant> answered, failed, refused_at;
    int failures = 0;  // since it last answered
    bool admitted = true;
    std::optional<Instant> fresh;  // back after it was refused, though the roster has no later start
  };
  struct Hall {
    State state = State::Up;
    bool by_hand = false, refused = false;  // refused: its processes were gone, not its links
    Instant since, looks_at, lost_at;
    double share = 1;             // of its engines that are let in
    std::vector<Instant> losses;  // the last ones, for the hold
    std::set<EngineId> there;
  };
  struct Count {
    std::size_t all = 0, tried = 0, lost = 0;
  };

  bool looks_lost(const Box& b, Instant now) const;
  bool looks_alive(const Box& b, Instant now) const;
  Count count(std::uint8_t hall, Instant now) const;
  bool judged_lost(const Count& c) const;
  void judge(Instant now);
  void lose(Instant now, std::uint8_t hall, const Count& c, const char* why);
  void try_again(Instant now, std::uint8_t hall);
  void advance(Instant now, std::uint8_t hall);
  void admit(Instant now, std::uint8_t hall);
  void withhold(std::uint8_t hall);
  Span hold_of(const Hall& h, Instant now) const;
  EngineEntry entry_of(const Box& b) const;
  void tell_hall(std::uint8_t hall);
  void look(Instant now, std::uint8_t hall);
  const std::string& name(std::uint8_t hall) const;
  std::vector<Step> done() { return std::exchange(steps_, {}); }

  const Rules rules_;
  const std::vector<std::string> names_;
  const std::uint8_t own_;
  std::mt19937 chance_;
  std::map<EngineId, Box> boxes_;
  std::set<EngineId> by_hand_;
  std::map<std::uint8_t, Hall> halls_;
  bool cut_off_ = false;
  std::uint64_t version_ = 0;
  std::vector<Step> steps_;
};

}  // namespace calicograde::halls
