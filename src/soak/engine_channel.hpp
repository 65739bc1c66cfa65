#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

#include "net/socket.hpp"
#include "soak/journal.hpp"

// How an engine process tells the process of the run what happens to it, and is told which faults it is to
// have. Both ends are the same program on one machine: messages are plain structures on a SOCK_SEQPACKET
// pair.
namespace calicograde::soak {

// Descriptors that an engine process inherits.
constexpr int calls_descriptor = 3, commands_descriptor = 4;

constexpr int events_each = 6;  // of a stream, beside its end

struct EngineCall {
  enum class Kind : std::uint8_t {
    Listening,     // at `number`, a port
    AttemptBegan,  // answered with the attempt's number
    AttemptEnded,
    ReadEnded,  // its answer has been written
    Hold,
    GrantPlace,    // answered with 1 where it is granted
    AttemptWaits,  // the attempt `number`, for the state; answered with 1 where there is one
    FirstToken,    // of the attempt `number`
    Release
  };
  Kind kind = Kind::Listening;
  bool has_stream = false;  // of an attempt that has ended: it was to write a stream
  bool broken = false;      // the engine itself broke it off
  std::uint64_t number = 0;
  std::int64_t at_micros = 0;          // of the monotonic clock
  std::int64_t received_micros = 0;    // of an attempt that begins: when its machine had it
  std::int64_t told_wait_millis = -1;  // of an attempt that begins: how long the node says that it will wait
  std::int64_t events = 0;             // of an attempt that has ended: events written
  std::array<std::int64_t, events_each> event_micros{};  // when, of the monotonic clock
  std::array<char, 64> id{};                             // of the request, ended by a zero

  void set_id(const std::string& text);
};

struct EngineCommand {
  enum class Fault : std::uint8_t {
    Hang,
    HangAttempts,  // it answers no attempt, and everything else
    CutAnswers,
    DoubleAnswers,
    Busy,
    LateNotice,    // it does not notice that a read was given up before the read is over
    TakesLate,     // it begins a request `millis` after its machine has it
    TakesNothing,  // its streams go on, and it begins no request
    EndsLate,      // it hears that an attempt was given up `millis` after its machine has
    QuietEnds,     // it leaves the connection of an attempt that was given up open
    DropsAtTime    // it drops an attempt without a word once the wait that it was told is over
  };
  Fault fault = Fault::Hang;
  bool on = false;
  int millis = 0;
};

// The engine's end. Thread-safe; a call ends this process where the run has gone.
class EngineChannel {
 public:
  explicit EngineChannel(int descriptor) : descriptor_(descriptor) {}
  std::uint64_t call(EngineCall::Kind kind, const std::string& id, std::uint64_t number = 0);
  std::uint64_t call(const EngineCall& call);

 private:
  std::mutex mutex_;
  const int descriptor_;
};

// The bytes of the events of an attempt's stream; they tell attempts apart.
std::string stream_of(std::uint64_t attempt);
std::string event_of(std::uint64_t attempt, int number);
constexpr const char* stream_end = "data: [DONE]\n\n";

}  // namespace calicograde::soak
