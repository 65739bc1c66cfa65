#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.hpp"

// What engines hold, or may hold, for one request: the state that a read leaves at a prefill engine, and
// places at decode engines. Free of I/O, clocks and threads; fed with what was asked for and what came of it,
// in order.
//
// Three kinds of evidence can show that an attempt has reached an engine that runs:
//   1. its own answer has begun: the attempt is out from then on;
//   2. its engine has written something else after it: the engine ran, and may not have begun this call;
//   3. the kernel of the engine's machine has acknowledged it: that proves nothing.
// Only the first kind stops the clock here. Where it is missing, everything is released before the limit,
// whatever the other two say: a release is harmless to an attempt that has arrived, since it spares what an
// attempt waits for, and it ends every doubt about one that has not.
namespace calicograde {

// Of the pin limit: so much later what is reserved is released, whatever is out without an answer of its own.
// The rest serves the release.
constexpr double release_due_part = 0.8;
// Of the pin limit: the pause before the next release, where one gave way to an attempt or was not taken.
constexpr double release_again_part = 0.1;

class Reservations {
 public:
  enum class PlaceAnswer { Granted, Refused, Unknown };
  enum class ReadEnd {
    NeverRan,   // proven
    StateKept,  // it said so itself
    Unknown     // it may have left its state, or may leave it yet
  };
  enum class ReleaseEnd { Taken, NotTaken };

  // `place` and `attempt`: numbers that the caller gives, each once.
  void place_asked(int place, Instant now);
  void place_answered(int place, PlaceAnswer answer, Instant now);
  void read_ordered(int attempt, Instant now);
  // `own_answer`: here and below, an answer of its own had begun, be it a refusal.
  void read_ended(int attempt, ReadEnd end, bool own_answer, Instant now);
  void decode_ordered(int attempt, Instant now);
  // Its first token has come: it has fetched the state, and its engine has taken over all that was settled
  // when it was ordered.
  void decode_answered(int attempt);
  void decode_ended(int attempt, bool own_answer, Instant now);
  // A call that had been given up was taken by its engine all the same.
  void abandoned_call_taken(Instant now);
  // Something is reserved that nobody here will take.
  void mark_unwanted(Instant now);

  void release_ordered(Instant now);
  void release_ended(ReleaseEnd end, Span pin_limit, Instant now);

  bool unwanted() const { return unwanted_; }
  bool release_is_out() const { return release_out_; }
  // Whether one was ordered since then.
  bool release_tried_since(Instant at) const { return release_ordered_at_ && *release_ordered_at_ >= at; }
  // Since when something is, or may be, reserved with no attempt known to be out. `surely`: leaves out what a
  // read that is out may have left.
  std::optional<Instant> reserved_since(bool surely) const;
  // When it has to be released; none while a release is on its way or nothing is reserved.
  std::optional<Instant> release_due(Span pin_limit) const;
  std::size_t count() const { return entries_.size(); }

 private:
  enum class Kind { Place, State, ReadOut };
  struct Entry {
    Kind kind;
    int number;                              // of the place or the attempt
    Instant since;                           // it may have begun to exist then
    std::optional<Instant> settled_at = {};  // what became of it is known since then
    bool may_come_later = false;             // its engine may not have begun the call yet
  };
  struct Decode {
    int number;
    Instant ordered;
    bool answered = false;
  };
  Decode* decode(int attempt);
  bool attempt_is_out() const;
  void restart_clock(Instant now);
  std::vector<Entry>::iterator entry(Kind kind, int number);

  std::vector<Entry> entries_;
  std::vector<Decode> decodes_;                // that are out
  std::optional<Instant> release_ordered_at_;  // the last one
  bool release_out_ = false;
  Instant not_before_;  // the next release
  bool unwanted_ = false;
};

}  // namespace calicograde
