#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <optional>
#include <string_view>

#include "core/types.hpp"
#include "log/log.hpp"

// The one place that decides whether something may be written, asked for or closed at this moment, from what
// is known of the request, its client, the engine, the clock and the shutdown. Every path asks in the step of
// the act itself, after its last wait. Beside that, acts that have broken a rule all the same are counted and
// logged. The decisions are free of I/O and clocks.
namespace calicograde::front {

enum class Denial {
  None,               // it may be done
  CalledOff,          // the module has called the attempt off
  ClientGone,         // the client has closed its connection
  ClientUnseen,       // so much that it has sent lies unread that its end of the connection could not be seen
  Answered,           // the request has its answer, or a stream that answers it
  TimeOver,           // the attempt's time, or the window in which a repeat is dropped, is over
  EngineUnknown,      // it is not listed, or has gone
  EngineDraining,     // it was told to drain
  MayHaveRun,         // an earlier attempt may have run, and a second effect would not be dropped
  ReadOver,           // the read that a place was to be held for has ended
  NewerAttempt,       // an attempt was written since the release was ordered
  RequestUnanswered,  // the connection carries a request that has no answer yet
  Count
};
const char* name_of(Denial denial);

// What is known of an engine.
struct EngineStanding {
  bool listed = false, draining = false;
  std::optional<Instant> told_at;  // that it drains or has gone
};

// Whether an attempt's first byte may be written now.
struct AttemptView {
  Instant now, write_by;
  bool called_off = false, client_gone = false, client_unseen = false, answered = false;
  bool effect_repeats = true;   // engines drop a second effect, or there is none
  int others_may_have_run = 0;  // attempts of the same request
  bool to_prefill = false;      // a read has no effect
  EngineStanding engine;
};
Denial may_write_attempt(const AttemptView& view);

// Whether a place may be asked for now.
struct PlaceView {
  bool bound_to_read = false, read_out = false;
  EngineStanding engine;
};
Denial may_ask_place(const PlaceView& view);

// Whether a release may be written now.
struct ReleaseView {
  Instant now, give_up_at;
  bool newer_attempt = false;
};
Denial may_release(const ReleaseView& view);

// Whether this process may end a client's connection now.
struct CloseView {
  bool request_open = false;  // one was read, and nothing of an answer was written
  bool client_gone = false;
};
Denial may_close(const CloseView& view);

// Acts that broke a rule.
enum class Violation {
  WrittenToDrainedEngine,  // past the grace
  WrittenAfterClientLeft,
  WrittenAfterDeadline,
  SecondEffect,
  HeldTooLong,  // with no attempt out
  ClosedUnanswered,
  AnsweredLate,
  Count
};
const char* name_of(Violation violation);

// How often something was denied, by reason, and how often a rule was broken. Thread-safe.
class Permissions {
 public:
  explicit Permissions(log::Log& log) : log_(log) {}
  // Counts and logs a denial of what `act` names, for the request of that id; passes it on.
  Denial note(Denial denial, std::string_view act, std::string_view id);
  void violated(Violation violation, std::string_view id, Span by = Span{});
  std::size_t denials(Denial denial) const { return denials_[static_cast<std::size_t>(denial)]; }
  std::size_t denials() const;  // in all
  std::size_t violations(Violation violation) const {
    return violations_[static_cast<std::size_t>(violation)];
  }
  std::size_t violations() const;  // in all

 private:
  log::Log& log_;
  std::array<std::atomic<std::size_t>, static_cast<std::size_t>(Denial::Count)> denials_{};
  std::array<std::atomic<std::size_t>, static_cast<std::size_t>(Violation::Count)> violations_{};
};

}  // namespace calicograde::front
