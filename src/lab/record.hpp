#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace calicograde::lab {

// One thing that was seen on a socket by a stand-in or a client, or that the day itself did. `what` is one
// of:
//   engines: send send_end held unheld effect started down up   roster: told   clients: asked first final
//   after left   tool servers: tool_run (how: the call)
//   the day: front_up front_down trouble
struct Record {
  Instant at;
  std::string what;
  std::string where;  // the engine's address, the front's name, or the client's route
  std::string name;   // of a send, state or place; of an inference at the client
  std::string mark;   // the client's mark of the inference, as the engine read it in the prompt
  std::string how;    // leg, status, state or outcome
  double number = 0;  // tokens, milliseconds, version
};

class Recorder {
 public:
  void add(Record r);
  std::vector<Record> all() const;
  void write(const std::string& file) const;  // JSON lines; throws std::runtime_error

 private:
  mutable std::mutex mutex_;
  std::vector<Record> records_;
};

}  // namespace calicograde::lab
