#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "front/dialect.hpp"
#include "http/http.hpp"

// One release, asked of several engines until one has taken it. An engine that does not run takes nothing
// though its kernel does, so the next one is asked while the earlier ones may still answer.
namespace calicograde::front {

class ReleaseRace {
 public:
  struct Rules {
    Span next_after;          // without an answer for so long, one more engine is asked
    std::size_t at_once = 1;  // asked in the beginning
    Instant give_up_at;
  };
  enum class End { Taken, NotTaken, Withheld };
  struct Calls {
    // A connection to the engine at that place of the list, by the deadline.
    std::function<std::optional<http::ClientConnection>(std::size_t engine, Instant by)> connect;
    // The last look before a write; false: no more is written.
    std::function<bool()> may_write;
    // What came of the one that was asked: its answer's status, 0 where none came.
    std::function<void(std::size_t engine, int status, http::ClientConnection connection)> ended;
  };

  // `engines`: how many there are to ask, the one to be asked first at 0.
  ReleaseRace(const Words& words, std::size_t engines, const Rules& rules, Calls calls);
  // `released`: whether an answer's head says that it was taken.
  End run(const std::function<bool(const http::Response&)>& released);

 private:
  struct Asked {
    std::size_t engine;
    http::ClientConnection connection;
  };
  bool ask_next();
  // The place in `out_` of one from which something has come; none by the deadline.
  std::optional<std::size_t> wait_for_any(Instant deadline);
  bool take_answer(std::size_t place, const std::function<bool(const http::Response&)>& released);

  const Words& words_;
  const std::size_t engines_;
  const Rules rules_;
  const Calls calls_;
  std::size_t next_ = 0;
  std::vector<Asked> out_;
};

}  // namespace calicograde::front
