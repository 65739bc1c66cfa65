#pragma once

#include <map>
#include <string>
#include <vector>

#include "soak/journal.hpp"

// Judges a soak run by what went over its sockets.
namespace calicograde::soak {

// The figures of the settings that the rules use, and what a busy machine is allowed on top.
// While connections that a node made broke by themselves, a stream may break off with them.
struct BrokenLinks {
  std::size_t node = 0;
  Instant from, until;
};
struct Limits {
  Span pin_limit, drain_grace, dedupe_window;
  Span late = Span::millis(500);                // an answer after its deadline that is late, not lost
  Span pin_slack = Span::millis(300);           // of what is held
  Span drain_slack = Span::millis(50);          // of a send to an engine that drains
  Span owed_after_sigterm = Span::millis(700);  // a stream of a later request must end before the kill
  Span begin_after_leave = Span::millis(100);
  Span stream_silence = Span::millis(4000);  // of a stopped engine, after which a stream may be ended
  // Slow start: zero = not judged.
  Span cold, fall;
  double cold_from = 1, fall_multiple = 1;
  std::size_t engines_of_role = 1;
  Span told_slack = Span::millis(150);          // of the wait that an attempt tells its engine
  Span link_delay;                              // of what goes through a fault proxy
  Span held_back = Span::millis(300);           // of an event, between its engine and its client
  double held_back_share = 0.1;                 // of the streams of a run, at most
  Span half_request_ends = Span::millis(3000);  // a client that stops in mid-request is owed an end by then
  std::vector<BrokenLinks> broken_links;
  Span scheduling = Span::millis(250);  // of the machine, on each of these
};

enum class Rule {
  Lost,
  Duplicate,
  Drain,
  Pinned,
  SlowStart,
  Crash,
  Fabricated,
  LongWait,    // an attempt tells its engine a longer wait than is left to the client
  HeldBack,    // events reach clients late
  HalfRequest  // a client that stopped in the middle of a request was left without an end
};
const char* name_of(Rule rule);
struct Violation {
  Rule rule = Rule::Lost;
  Instant at;
  std::string what;
  std::string request;  // its id; empty where none is concerned
};

struct Verdict {
  std::vector<Violation> violations;
  std::map<AnswerKind, int> answers;
  int attempts = 0;
  int streams = 0, streams_held_back = 0;  // of those that nothing excuses
};

Verdict judge(const std::vector<Entry>& entries, const Limits& limits, Instant end);

}  // namespace calicograde::soak
