#pragma once

#include <string>

#include "lab/record.hpp"
#include "net/socket.hpp"

namespace calicograde::lab {

struct ClientCall {
  net::Address front;
  std::string front_name, route, mark, system, text, key, user;
  int max_tokens = 32;
  Span budget, leave_after;  // leave_after: hangs up then; zero = stays
  bool stream = true, reads_slowly = false;
};
struct ClientEnd {
  std::string how;  // completed shed errored refused cut unreachable left
  Span retry_after;
  std::string text;  // of the answer
};
// One inference as a client sees it, on a connection of its own; blocking. What it saw goes to the recorder.
ClientEnd call(const ClientCall& c, Recorder& records);

}  // namespace calicograde::lab
