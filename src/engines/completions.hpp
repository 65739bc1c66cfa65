#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/prompt.hpp"
#include "core/types.hpp"
#include "prefix/index.hpp"

// The chat-completions shape that engines publish for disaggregated serving (kv_transfer_params), and the
// small extension of docs/front.md for what has no public call. Free of I/O.
namespace calicograde::engines {

enum class Leg { Read, Write, Whole };  // Whole: one engine reads and writes

// A body to POST to /v1/chat/completions. `state`: the kv_transfer_params that the read answered with, as
// JSON.
std::string ask_body(Leg leg, const std::string& model, const Prompt& prompt, const std::string& state,
                     const std::string& place);

// A prompt as one text, by which blocks are named (docs/prefix.md, "Names"): engines that send cache events
// make the same of the body that they get.
std::string canonical_text(const Prompt& prompt);
std::string canonical_text(std::string_view body);

struct ReadAnswer {
  std::string state;  // kv_transfer_params, as JSON
  Usage usage;
  bool kept_told = false;  // the engine says how much it had kept
};
// None if it is no answer to a read.
std::optional<ReadAnswer> parse_read(std::string_view body);

// Part of a call that the model asks for: its name and id come with the first part.
struct CallPiece {
  int index = 0;
  std::string id, name, arguments;
};
struct Chunk {
  std::string text;
  std::vector<CallPiece> calls;
  std::string finish;  // empty until the answer has ended
  std::string stop;    // the stop sequence that ended it, where told
  std::optional<Usage> usage;
  bool done = false;  // [DONE]
  // Whether it tells the client anything.
  bool says() const { return !text.empty() || !calls.empty() || !finish.empty(); }
};
// Puts the parts of an answer's calls together. Parts of a call that another has followed are garbage: they
// come one after the other.
class CallAssembler {
 public:
  enum class Took { Opened, More, Garbage };
  // A call without an id is given one: the prefix, and the number counted on.
  Took take(const CallPiece& piece, const std::string& id_prefix, int& number);
  const std::vector<ToolUse>& uses() const { return uses_; }  // the last one may still grow

 private:
  std::vector<ToolUse> uses_;
  int index_ = -1;
};
// Whether a call's input is a JSON object; none at all counts as an empty one.
bool is_object(std::string_view input);

std::optional<Chunk> parse_chunk(std::string_view data);

// Everything about how a send went on its socket that its outcome is judged by.
struct SendFacts {
  enum class Connect { Connected, Refused, TimedOut, Unreachable, Local } connect = Connect::Connected;
  bool cancelled = false;    // this front called it off
  bool not_sent = false;     // no thread or no time was left to send it
  bool turned_away = false;  // it was not written, since its engine drains or has gone
  bool any_written = false;  // one byte or more may have reached the engine
  bool asked_whole = false;  // its last byte was written
  bool arrived = false;  // its last byte has reached an engine that runs, as its answer or a later byte shows
  bool answered = false;     // its own answer has begun
  bool called_off = false;   // nothing showed in time that it has arrived
  bool no_sign = false;      // nor that its engine runs at all
  bool timed_out = false;    // the send's time ended while waiting
  int status = 0;            // 0 = no answer's head came
  std::string error_code;    // of the answer's error body
  bool body_whole = true;    // false: the answer ended early, or broke off
  bool not_started = false;  // the answer says in so many words that it did not run
  bool garbled = false;      // what came can't be read
  bool understood = true;    // false: what came was no answer of the expected shape
  bool finished = false;     // a stream came to its own end
};
struct Judged {
  EndedAs as = EndedAs::Errored;
  bool no_state = false;
  bool refused =
      false;  // the engine says that the client's own words are at fault: another would say the same
};
// The one table of outcomes (docs/front.md). "May have run" is judged on the safe side.
Judged judge(Leg leg, const SendFacts& facts);

// An engine's cache stream (docs/prefix.md, "Cache events"): the whole once, then what changes. None if it is
// neither.
struct CacheWhole {
  std::uint64_t number = 0;  // of the event that comes next
  std::vector<prefix::Chain> chains;
};
using CacheWord = std::variant<CacheWhole, prefix::CacheEvent>;
std::optional<CacheWord> parse_cache(std::string_view data);
std::string text_of(const CacheWord& word);

// The error of an engine's answer: its code, or else its type; and its message.
struct EngineError {
  std::string code, message;
};
EngineError parse_error(std::string_view body);

// The extension's load report, "held=3 waiting=0 memory=0.41 tokens=1200": each part may be left out.
std::optional<LoadReport> parse_load(std::string_view header);
std::string text_of(const LoadReport& report);

}  // namespace calicograde::engines
