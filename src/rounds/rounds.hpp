#pragma once

#include <cstddef>
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

// The rounds of one message whose model asks for tools that this front calls itself: which calls are made and
// when, what the model is told of them, when the next round may begin and when the message ends. Free of I/O,
// clocks and threads: what happened and when goes in, what is to be done comes out. Not thread-safe.
namespace calicograde::rounds {

// What a route's settings allow (docs/tools.md, "Rounds").
struct Rules {
  std::vector<std::string> tools;  // names, or prefixes ending in *; empty = no tool is called here
  int most_rounds = 8;             // answers of the model in one message
  std::size_t most_at_once = 4;    // calls of one message
  std::size_t most_calls = 32;     // of one message in all
  Span call_time = Span::millis(30000);
  std::size_t input_bytes = 64 << 10, result_bytes = 256 << 10;  // of one call
};
bool calls(const Rules& rules, std::string_view tool);

// A tool that this front may call for the message, with the effect that its settings give it.
struct Tool {
  std::string name;
  Effect effect = Effect::NonRetriable;
};

// What the model asked for, as it wrote it. `input` is a JSON text; whether it is an object is told beside
// it.
struct Use {
  std::string id, name, input;
  bool object = true;
};
struct Result {
  std::string text;
  bool error = false;
};
enum class Ran { No, Yes, Unknown };

// ---- what is to be done
struct MakeCall {
  std::size_t use = 0;  // its number among the uses of this round
  Instant until;
};
struct DropCall {
  std::size_t use = 0;
};
// The use has its result: it goes to the client now, and to the model with the next round.
struct ShowResult {
  std::size_t use = 0;
  Result result;
};
// Another answer of the model is to begin by `ends`, of at most so many tokens.
struct NextRound {
  Instant ends;
  int max_tokens = 1;
};
// The message ends well.
struct EndMessage {
  enum class Why {
    Natural,    // as the model ended it
    ForClient,  // the client has tools of its own to call
    Paused,     // a bound of the settings; the client may send the message on as it stands
    MaxTokens,
  } why = Why::Natural;
};
// The budget ran out. Whatever is out has been dropped.
struct FailMessage {
  std::string what;
};
using Step = std::variant<MakeCall, DropCall, ShowResult, NextRound, EndMessage, FailMessage>;

class Rounds {
 public:
  // `streams`: the budget is the client's waiting, and stands still while an answer comes; a client that does
  // not stream has its budget for the whole. `client_tools`: names that the client offered, which are its own
  // to call whatever the settings say.
  Rounds(Rules rules, std::vector<Tool> tools, std::set<std::string> client_tools, Instant now, Span budget,
         bool streams, int max_tokens);

  // By when the budget ends if nothing comes until then.
  Instant ends() const { return ends_; }
  // The answer of this round has begun to reach the client.
  void answer_began(Instant now);
  // It has ended well, with these uses. `cut`: by the number of tokens, so that the last use may be in part.
  std::vector<Step> answer_ended(Instant now, std::vector<Use> uses, bool cut, double tokens);
  std::vector<Step> call_ended(Instant now, std::size_t use, Ran ran, Result result);
  std::vector<Step> tick(Instant now);
  // The client has gone, or the front is stopping: what is out is called off.
  std::vector<Step> give_up();

  // The uses of the round that ended last and their results, in order: the next turns of the conversation.
  // Empty results belong to the client.
  struct Settled {
    Use use;
    std::optional<Result> result;
  };
  std::vector<Settled> settled() const;
  const Use& use(std::size_t number) const { return uses_[number].use; }
  // Who makes the call of a tool. Where nothing is called here, all are the client's, whatever their names.
  enum class Whose { Front, Client, Nobody };
  Whose whose(const std::string& tool) const;
  // Whether trying the whole message again is harmless as far as its calls go: rule 2 forbids a shed reply
  // after anything else.
  bool harmless() const { return !harm_; }
  // Something out of a call's reach may have happened, whose repeat no server drops.
  bool unsure() const { return unsure_; }
  int round() const { return round_; }
  std::size_t calls_made() const { return made_; }

 private:
  struct Asked {
    Use use;
    Whose whose = Whose::Nobody;
    bool out = false;
    Instant until;
    std::optional<Result> result;
  };
  void settle(std::size_t use, Result result);
  void admit(Instant now);
  void finish(Instant now);
  void drop_all();
  std::optional<std::string> refusal(const Asked& asked) const;
  Effect effect_of(const std::string& tool) const;
  std::vector<Step> done() { return std::exchange(steps_, {}); }

  const Rules rules_;
  std::map<std::string, Effect> tools_;
  const std::set<std::string> client_tools_;
  const bool streams_;
  Instant ends_;
  std::optional<Instant> began_;  // the answer that comes just now
  bool over_ = false, harm_ = false, unsure_ = false, in_calls_ = false;
  int round_ = 0;
  double tokens_left_;
  std::size_t out_ = 0, made_ = 0;
  std::vector<Asked> uses_;
  std::deque<std::size_t> line_;
  std::set<std::string> ids_;
  std::set<std::pair<std::string, std::string>> never_again_;  // tool and input of calls with unknown outcome
  std::vector<Step> steps_;
};

}  // namespace calicograde::rounds
