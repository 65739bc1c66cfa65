#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "prefix/index.hpp"

// An engine that works in steps, with its memory in blocks; formulas and limits stand in docs/emulator.md. It
// has no clock: whoever drives it says what time it is, so the same code runs in simulated time and behind
// sockets. Not thread-safe.
namespace calicograde::emulator {

struct Shape {
  Stage stage = Stage::Both;
  double step_ms = 4;                // of every step
  double read_us = 60;               // a token read
  double stream_us = 80;             // a stream that runs
  double context_ns = 4;             // a token of context of the streams
  std::uint32_t step_tokens = 2048;  // read in one step, at most
  std::uint32_t block_tokens = 64;
  std::size_t blocks = 4000;  // of memory
  std::size_t running = 64, queue = 64;
  double fetch_tokens_a_s = 300000;
  double cold_from = 0.25;
  Span cold = Span::millis(12000), state_life = Span::millis(30000);
  bool events = false;  // cache events
};

using JobId = std::uint64_t;
struct Job {
  JobId id = 0;
  enum class Kind { Read, Write, Whole } kind = Kind::Whole;
  std::shared_ptr<const prefix::Chain> chain;
  std::uint32_t answer_tokens = 1;
  JobId state = 0;  // of a Write: the read whose state it fetches
};

// What came of it.
struct ReadDone {
  JobId job = 0;
  std::uint32_t found = 0;  // blocks kept before
};
struct WantState {  // the write's fetch is over, if the reader still has it: host answers with state()
  JobId job = 0, state = 0;
};
struct Token {
  JobId job = 0;
  bool first = false, last = false;
};
struct Refused {
  JobId job = 0;
  bool state_gone = false;  // else full
};
using Said = std::variant<ReadDone, WantState, Token, Refused>;

class Engine {
 public:
  explicit Engine(Shape shape) : shape_(shape) {}

  // Each brings it up to `now` first; what it says meanwhile is appended to what take() returns.
  void submit(Instant now, const Job& job);
  void state(Instant now, JobId job, bool there);
  void cancel(Instant now, JobId job);
  bool take_state(Instant now, JobId read);  // fetched by a writer, or let go; false: it is gone
  void restart(Instant now);  // empty and cold; its jobs are lost, and their ids returned no more
  void advance(Instant now);
  std::optional<Instant> next() const;
  std::vector<std::pair<Instant, Said>> take() { return std::exchange(said_, {}); }
  std::vector<prefix::CacheEvent> take_events() { return std::exchange(events_, {}); }

  std::uint32_t kept(const prefix::Chain& chain) const;  // blocks, from the opening on
  std::vector<JobId> jobs() const;
  std::size_t blocks_used() const { return used_; }
  std::size_t streams() const;
  std::size_t preempted() const { return preempted_; }
  const Shape& shape() const { return shape_; }
  std::uint64_t next_event() const { return next_event_; }

 private:
  struct Block {
    std::uint32_t refs = 0;
    std::list<prefix::BlockName>::iterator at;  // in idle_, while refs is 0
  };
  enum class Phase { Queued, Reading, Held, Fetching, Ready, Running };
  struct Work {
    Job job;
    Phase phase = Phase::Queued;
    Instant until;                      // of a fetch, or of a state held
    std::uint32_t found = 0, read = 0;  // blocks: kept before, and here by now
    std::size_t own = 0;                // blocks that no prefix names: an answer, a fetched state
    std::uint32_t answered = 0, held_blocks = 0;
    double part = 0;  // of the block being read, in tokens
    std::uint64_t order = 0;
  };
  void step_over(Instant at);
  void begin_step(Instant at);
  bool room(std::size_t blocks, const Work* for_whom);
  void refer(const prefix::Chain& chain, std::uint32_t from, std::uint32_t to);
  void unrefer(const prefix::Chain& chain, std::uint32_t to);
  void free(Work& w);
  void tell(prefix::CacheEvent::What what, prefix::BlockName after, std::vector<prefix::BlockName> blocks);
  double speed(Instant at) const;
  void preempt_newest(const Work* but);
  void expire(Instant at);

  const Shape shape_;
  std::map<JobId, Work> works_;
  std::deque<JobId> queue_;                 // to be read, in order
  std::map<JobId, std::uint32_t> in_step_;  // tokens read in the step that runs
  std::optional<Instant> step_ends_;
  Instant started_ = Instant::at(Span::millis(-3600000)), at_;
  std::unordered_map<prefix::BlockName, Block> cache_;
  std::list<prefix::BlockName> idle_;  // kept by nobody's work, least recently used first
  std::size_t used_ = 0, preempted_ = 0;
  std::uint64_t next_event_ = 0, next_order_ = 0;
  std::vector<std::pair<Instant, Said>> said_;
  std::vector<prefix::CacheEvent> events_;
};

}  // namespace calicograde::emulator
