#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/types.hpp"

// The one table of what comes back from the platform's engines. Free of I/O.
namespace calicograde::platform {

// How a send went on its socket.
struct Facts {
  enum class Connect { Connected, Failed, Local } connect = Connect::Connected;
  bool cancelled = false;    // this front called it off
  bool not_sent = false;     // no time or no room was left to send it
  bool asked_whole = false;  // its last byte was written
  bool timed_out = false;    // the send's time ended while waiting
  int status = 0;            // 0 = no answer's head came
  bool not_started = false;  // the answer says that it did not run
  bool garbled = false;      // what came was no answer
  bool body_whole = true;
};
struct Judged {
  EndedAs as = EndedAs::Errored;
  bool no_state = false;
  bool refused = false;  // the client's own words are at fault: any other engine would say the same
};
Judged judge(bool read, const Facts& facts);

// An answer's word for the place that was asked for. Unheard: a place may be held all the same.
enum class Place { Held, NotHeld, Unheard };
Place place_of(int status);

// Of a read's answer: {"cached_tokens":4096}.
std::optional<double> kept_tokens(std::string_view body);

// Whether what has come of a stream is an event, may become one, or never will.
enum class Opening { Event, Unfinished, Garbage };
Opening opening_of(std::string_view bytes);

}  // namespace calicograde::platform
