#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.hpp"

// What a drain of a front means, and how it goes: free of I/O, clocks and threads; not thread-safe. Done says
// three things and never fewer: nothing new is taken, nothing is held at any engine, and every inference and
// call that was taken has had its final answer. docs/fleet.md.
namespace calicograde::drain {

enum class State {
  Serving,
  Draining,
  Done,     // nothing is left
  CutShort  // its time was over: what was left is being errored; Done once that is through
};

// What is left at a front.
struct Left {
  std::size_t inferences = 0, calls = 0, holdings = 0;
  std::optional<Instant> oldest;  // since when the oldest of them is in work
  bool none() const { return inferences == 0 && calls == 0 && holdings == 0; }
  std::size_t all() const { return inferences + calls; }
};

struct Ask {
  std::string by;                     // who asks; for people
  Span limit = Span::millis(300000);  // zero = none
  bool cut = true;                    // at the limit what is left is errored; else it goes on, late
  bool remember = false;              // stands through a restart of the daemon
};

// What is to be done.
struct RefuseNew {};
struct TakeNew {};
struct CutOff {};  // error what is left
struct Keep {      // or forget, where it holds no more
  bool standing = true;
};
struct Note {
  std::string text;  // one log line a change
};
using Step = std::variant<RefuseNew, TakeNew, CutOff, Keep, Note>;

struct Progress {
  State state = State::Serving;
  std::uint64_t number = 0;  // of this drain; goes up by one with each
  std::string by;
  Left left;
  std::size_t at_first = 0;                         // inferences and calls when it began
  std::optional<Span> since, ends_in;               // ends_in: by the pace of the last seconds
  std::optional<Span> limit_in;                     // until its limit
  bool cut = true, remember = false, late = false;  // late: past its limit, and left to go on
};

class Drain {
 public:
  // Two who ask at once share one drain: the earlier limit stands, and it is remembered if either wants that.
  std::vector<Step> ask(Instant now, const Ask& ask);
  // As it stood when the daemon was stopped; without a limit, since nothing was in work.
  std::vector<Step> resume(Instant now, const std::string& by);
  enum class Back { Taken, NotDraining, OtherNumber };
  // Takes it back. `number`: of the drain that is meant; none = whichever stands.
  std::pair<Back, std::vector<Step>> take_back(Instant now, std::optional<std::uint64_t> number,
                                               const std::string& by);
  // What is left just now; to be told often. Counted after new work is refused, or a late arrival is missed.
  std::vector<Step> seen(Instant now, const Left& left);

  Progress progress(Instant now) const;
  State state() const { return state_; }

 private:
  std::optional<Span> ends_in(Instant now) const;

  State state_ = State::Serving;
  std::uint64_t number_ = 0;
  Ask ask_;
  Left left_;
  std::size_t at_first_ = 0;
  bool counted_ = false, late_ = false;
  std::optional<Instant> since_, limit_at_;
  std::deque<std::pair<Instant, std::size_t>> counts_;  // the last ones, for the pace
};

const char* word(State state);

}  // namespace calicograde::drain
