#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "core/time.hpp"

// What engines hold, or may hold, for one request: the state that a read leaves at a prefill engine, and
// places at decode engines. Free of I/O, clocks and threads; fed with what was asked for and what came of it,
// in order.
//
// Four kinds of evidence can show that an attempt has reached an engine that runs, the strongest first:
//   1. its own answer has begun;
//   2. its engine has answered another call that was written later: it begins calls, and had this one before
//   it;
//   3. its engine has written something else after it: the engine ran, and may have begun nothing since;
//   4. the kernel of the engine's machine has acknowledged it, or another engine has granted a place: neither
//      proves anything.
// The first stops the clock for good. The second says nothing of a call that a silent connection has
// swallowed: it stops the clock of a read, which has no answer of its own before its end, only for what
// earlier attempts left, and not for a place. For want of both, everything is released before the limit,
// whatever else is believed.
//
// A release does not touch what a decode attempt waits for at its engine, and is answered all the same. So
// what is reserved ends in two ways only: by the first token of an attempt, or by a release that was ordered
// after each attempt that may wait for it has been seen to end. An attempt is seen to end by
//   1. its own answer, be it a refusal;
//   2. its engine, which ends the connection in answer to our giving it up.
// Giving an attempt up, the end of its connection by itself and a close of ours are no evidence: the engine
// may hear of them later, or never. Until it is seen, releases are repeated.
namespace calicograde {

// Of the pin limit: so much later what is reserved is released, whatever is out without an answer of its own.
// The rest serves the release.
constexpr double release_due_part = 0.8;
inline Span release_due_after(Span pin_limit) { return pin_limit * release_due_part; }
// A state that no decode engine is free for goes to one that is not, so long before it would be released.
constexpr Span last_resort_before_release = Span::millis(60);
inline Span last_resort_after(Span pin_limit) {
  return release_due_after(pin_limit) - last_resort_before_release;
}
// Of the pin limit: so much later the engine of a read is probed where its answer is enough, and again after
// each pause, until the read is shown to be out.
constexpr double probe_due_part = 0.4, probe_again_part = 0.1;
// Of the pin limit: the engine of an attempt whose connection ended by itself has heard of that by then.
constexpr double broken_end_heard_part = 0.5;
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
  void place_answered(int place, PlaceAnswer answer);
  void read_ordered(int attempt);
  // Its engine has answered a call that was written later.
  void read_shown(int attempt);
  // `own_answer`: here and below, an answer of its own had begun, be it a refusal.
  void read_ended(int attempt, ReadEnd end, bool own_answer, Instant now);
  void decode_ordered(int attempt);
  // Its first token has come: it has fetched the state, and its engine has taken over all that was settled
  // when it was ordered.
  void decode_answered(int attempt);
  // It is seen to have ended at its engine, or never reached it.
  void decode_ended(int attempt, bool own_answer, Instant now);
  // It is waited for no more, and may wait at its engine: until its end is seen, or `over_by` at the latest.
  void decode_given_up(int attempt, Instant over_by);
  void decode_end_seen(int attempt);
  // A call that had been given up was taken by its engine all the same.
  void abandoned_call_taken(Instant now);
  // Something is reserved that nobody here will take.
  void mark_unwanted(Instant now);

  void release_ordered(Instant now);
  void release_ended(ReleaseEnd end, Span pin_limit, Instant now);

  bool unwanted() const { return unwanted_; }
  bool release_is_out() const { return release_out_; }
  // Not while one is out, and not so soon after one that it could find nothing new.
  bool may_release(Instant now) const { return !release_out_ && now >= not_before_; }
  // When one may be ordered that is wanted at once; none where none is wanted.
  std::optional<Instant> unwanted_release_at() const;
  // Whether one was ordered since then.
  bool release_tried_since(Instant at) const { return release_ordered_at_ && *release_ordered_at_ >= at; }
  // Since when something is, or may be, reserved with no attempt known to be out.
  std::optional<Instant> reserved_since() const;
  // When it has to be released; none while a release is on its way or nothing is reserved.
  std::optional<Instant> release_due(Span pin_limit) const;
  // When the engines of unshown_reads() are to be probed; none where nothing depends on it.
  std::optional<Instant> probe_due(Span pin_limit) const;
  void probed(Instant now) { probed_at_ = now; }
  std::vector<int> unshown_reads() const;
  std::size_t count() const { return entries_.size(); }
  // Attempts that were given up, and may wait at their engines for what is reserved.
  std::size_t unseen_ends() const { return unseen_ends_.size(); }
  auto operator<=>(const Reservations&) const = default;

 private:
  enum class Kind { Place, State };
  struct Entry {
    Kind kind;
    int number;                   // of the place or the attempt
    Instant since;                // it may have begun to exist then
    bool settled = false;         // what became of the call is known
    bool may_come_later = false;  // its engine may not have begun the call yet
    // The first decode attempt that was ordered after it was settled.
    std::optional<int> fetched_from = {};
    // Of the last release: it was ordered after this was settled; and with no attempt left to wait for this.
    bool release_tried = false, ends_with_release = false;
    auto operator<=>(const Entry&) const = default;
  };
  struct Attempt {
    int number;
    bool known_to_be_out = false;
    auto operator<=>(const Attempt&) const = default;
  };
  // A decode attempt that was given up.
  struct UnseenEnd {
    int attempt;
    Instant over_by;
    auto operator<=>(const UnseenEnd&) const = default;
  };
  static Attempt* find(std::vector<Attempt>& attempts, int number);
  static bool any_known(const std::vector<Attempt>& attempts);
  // Whether nothing but the own answer of an attempt stops its clock.
  static bool needs_own_answer(const Entry& entry);
  std::optional<Instant> shown_by_its_engine_since() const;
  void restart_clock(Instant now);
  std::vector<Entry>::iterator place(int number);
  void end_decode(int attempt);

  std::vector<Entry> entries_;
  std::vector<Attempt> reads_, decodes_;  // that are out
  std::vector<UnseenEnd> unseen_ends_;
  std::optional<Instant> release_ordered_at_;  // the last one
  bool release_out_ = false;
  Instant not_before_;  // the next release
  Instant probed_at_;
  bool unwanted_ = false;
};

}  // namespace calicograde
