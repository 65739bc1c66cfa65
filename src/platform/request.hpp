#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "platform/names.hpp"

// What a client's headers say of its inference (the platform's PROTOCOL page). Free of I/O.
namespace calicograde::platform {

inline constexpr std::string_view completions_path = "/v1/chat/completions";
inline constexpr std::string_view ready_path = "/health/ready";
inline constexpr std::string_view state_path = "/state/";
inline constexpr std::string_view live_path = "/health/live";  // of an engine: a probe
inline constexpr const char* id_header = "Request-Id";
inline constexpr const char* timeout_header = "Request-Timeout-Ms";
inline constexpr const char* not_run_header = "Not-Started";

struct Wanted {
  std::string id;
  std::size_t route = 0;
  TextKey session = 0, shared_text = 0;
  Span budget;  // from when the client sent it
  double prompt_tokens = 0, shared_tokens = 0, max_answer_tokens = 0;
  bool repeat = false, resumed = false;
};
struct Refusal {
  int status = 400;
  std::string what;  // for the client, with what to mend
};
using Headers = std::vector<std::pair<std::string, std::string>>;
// `body_bytes` stands in where the lengths are not told: one token is four characters.
std::variant<Wanted, Refusal> read_request(const Headers& headers, std::size_t body_bytes,
                                           const Decoded& names);

// Those of a client's headers that an engine is to get as they came, in their order: all but what concerns
// one connection only (RFC 9110, 7.6.1, and what the Connection header names) or its framing, the host, and
// the time-out, which is told anew. Whatever marks a request for engines, such as the key by which they know
// a repeat, is among them, whether or not this front knows it.
Headers end_to_end_headers(Headers headers);

}  // namespace calicograde::platform
