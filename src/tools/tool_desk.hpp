#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.hpp"
#include "core/types.hpp"

// Which tool server takes a call, when it is tried again, and what its client is told when it can't be. The
// decisions of the second front, as the module's are of the first. Free of I/O, clocks and threads: what
// happened and when goes in, what is to be done comes out.
namespace calicograde::tools {

using CallId = std::uint64_t;
using ServerIndex = std::size_t;

// What the settings say of a tool; the first rule whose pattern fits stands.
struct ToolRule {
  std::string pattern = "*";  // a name, or a prefix ending in *
  Effect effect = Effect::NonRetriable;
  Span dedupe_window;  // of deduped tools: for how long its servers drop repeats
  Span time_out = Span::millis(30000);
  std::size_t most_at_once = 64;  // at this front
  std::size_t most_waiting = 256;
  bool stays = false;  // a session's calls stay at the server where its first one went
};
struct DeskSettings {
  std::vector<ToolRule> rules;
  std::vector<std::size_t> most_calls;  // a server at once, by its index
  int most_sends = 3;                   // of a call
};

// What a server says of a tool that it offers. Hints are the server's own word: they can only make a call
// more careful.
struct Offer {
  std::string tool;
  std::uint64_t shape =
      0;  // a digest of its input schema: calls go only to servers that offer the same shape
  std::optional<bool> idempotent, read_only;
};

enum class CallEnd {
  Answered,    // by a result or by the tool's own error
  NotReached,  // no connection, or nothing was written
  TurnedAway,  // the server says that it did not begin it
  Broken,      // the connection or the stream ended without an answer
  Garbage,     // what came is no answer
  Cancelled,   // by this desk
};

// What is to be done.
struct SendCall {
  CallId call = 0;
  std::uint32_t send = 0;
  ServerIndex server = 0;
  Instant until;
};
struct StopCall {
  CallId call = 0;
  std::uint32_t send = 0;
};
// The call's answer from the desk itself; the relayed answer of a server is none of its business.
struct FailCall {
  enum class Why { UnknownTool, Busy, NoServer, TimedOut, OutcomeUnknown } why = Why::NoServer;
  CallId call = 0;
  Span retry_after;
};
struct SayOnce {
  std::string text;  // a change of mode, for the log
};
using DeskAction = std::variant<SendCall, StopCall, FailCall, SayOnce>;

class ToolDesk {
 public:
  explicit ToolDesk(DeskSettings settings);

  // A server's list of tools, whole; none: it is not reachable, its offers stand as they were but it is
  // doubted.
  std::vector<DeskAction> offered(Instant now, ServerIndex server,
                                  const std::optional<std::vector<Offer>>& offers);
  // A call of a session (0 = none), to be answered by `ends`.
  std::vector<DeskAction> called(Instant now, CallId call, const std::string& tool, std::uint64_t session,
                                 Instant ends);
  // Anything that came from the server on that send: progress, a question back, the head of an answer.
  std::vector<DeskAction> heard(Instant now, CallId call, std::uint32_t send);
  std::vector<DeskAction> ended(Instant now, CallId call, std::uint32_t send, CallEnd end);
  // The client cancelled, or has gone for good.
  std::vector<DeskAction> cancelled(Instant now, CallId call);
  std::vector<DeskAction> tick(Instant now);
  void session_over(std::uint64_t session);

  // One definition a name: that of the first server, in the settings' order, that offers it.
  std::vector<std::pair<std::string, ServerIndex>> catalogue() const;
  // The effect that counts for a tool at a server: the settings', made more careful by the server's hints.
  Effect effect_of(const std::string& tool, ServerIndex server) const;
  // The rule that a tool falls under; reads the settings only, so any thread may ask.
  const ToolRule& rule_of(const std::string& tool) const;
  std::size_t open() const { return calls_.size(); }
  bool doubted(ServerIndex server) const { return servers_[server].doubt != Server::Doubt::None; }

 private:
  struct Server {
    std::map<std::string, Offer> offers;
    // Silent: not reached, or unusually long without a sign; any sign ends it. Failing: it breaks off calls
    // or answers nonsense; only an answered call ends that, for it may list its tools all the while.
    enum class Doubt { None, Silent, Failing } doubt = Doubt::None;
    Instant last_sign, next_trial;
    std::deque<double>
        gaps;  // between signs while something was awaited, in seconds: the last few themselves
    std::map<std::pair<CallId, std::uint32_t>, Instant> awaited;
  };
  struct Send {
    ServerIndex server = 0;
    Instant at;
    bool out = true, ran = true, stopped = false;  // ran: may have
  };
  struct Call {
    std::string tool;
    std::uint64_t session = 0;
    Instant ends;
    std::vector<Send> sends;
    std::set<ServerIndex> failed_at;
    std::optional<Instant> rests_until;  // it waits a while before its next send
  };

  void place(Instant now, CallId id);
  std::optional<ServerIndex> choose(Instant now, const Call& call, bool any) const;
  Instant trial_of(const Call& call, ServerIndex server) const;
  bool rests(Instant now, Call& call, ServerIndex server) const;
  bool may_go_to(Instant now, const Call& call, ServerIndex server) const;
  std::size_t busy(ServerIndex server) const;
  std::size_t at_once(const std::string& tool) const;
  bool ran(const Call& call) const;
  void sign(Instant now, ServerIndex server, bool answered = false);
  Span patience(const Server& s) const;
  void doubt(Instant now, ServerIndex server, bool failing, const char* why);
  void fail(CallId id, FailCall::Why why, Span retry_after = {});
  void admit(Instant now);
  std::vector<DeskAction> done() { return std::exchange(out_, {}); }

  const DeskSettings settings_;
  std::vector<Server> servers_;
  std::map<CallId, Call> calls_;
  std::deque<CallId> line_;  // those that wait for a place, oldest first
  std::map<std::pair<std::uint64_t, std::string>, ServerIndex> stays_;
  bool trust_grew_ = false;
  std::vector<DeskAction> out_;
};

}  // namespace calicograde::tools
