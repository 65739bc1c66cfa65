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
  std::string text;    // of the answer
  std::string reason;  // why it stopped, where it was streamed
  int results = 0;     // of tools that the front called
};
// One tools/call as a client of the second front sees it, in a session of its own: asked, final, and after
// for every further response under its id.
ClientEnd call_tool(const ClientCall& c, Recorder& records);
// One inference as a client sees it, on a connection of its own; blocking. What it saw goes to the recorder.
ClientEnd call(const ClientCall& c, Recorder& records);

}  // namespace calicograde::lab
