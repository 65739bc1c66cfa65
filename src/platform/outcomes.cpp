#include "platform/outcomes.hpp"

#include <algorithm>

#include "platform/json.hpp"

namespace calicograde::platform {

Judged judge(bool read, const Facts& f) {
  using E = EndedAs;
  if (f.not_sent) return {E::Moot};
  if (f.cancelled) return {E::Cancelled};
  if (f.connect == Facts::Connect::Local) return {E::LocalFailure};
  if (f.connect == Facts::Connect::Failed) return {E::ConnectFailed};
  // An engine begins with the last byte: without it, it cannot have.
  if (!f.asked_whole) return {f.timed_out ? E::TimedOut : E::ConnectFailed};
  if (f.timed_out) return {E::TimedOut};
  // A writer answers once it has fetched the state: it exists nowhere else then.
  if (f.garbled) return {E::Errored, !read};
  if (f.status == 0) return {E::Reset};
  if (f.not_started) return {E::Full, f.status == 410};
  if (read && f.status == 202) return {f.body_whole ? E::ReadDone : E::Reset};
  // Here an answer that is no stream, or one that ended before its first event.
  if (!read && f.status == 200) return {f.body_whole ? E::Errored : E::Reset, true};
  if (f.status == 400 || f.status == 404 || f.status == 413) return {E::Errored, false, true};
  return {E::Errored};
}

Place place_of(int status) {
  if (status == 200) return Place::Held;
  return status == 409 || status == 404 ? Place::NotHeld : Place::Unheard;
}

std::optional<double> kept_tokens(std::string_view body) {
  const Json j = Json::parse(body, nullptr, false);
  const double tokens = number_at(j, "cached_tokens", -1);
  return tokens >= 0 && tokens < 1e9 ? std::optional(tokens) : std::nullopt;
}

Opening opening_of(std::string_view bytes) {
  constexpr std::string_view start = "data:";
  constexpr std::size_t longest_event = 64 << 10;
  const auto n = std::min(bytes.size(), start.size());
  if (bytes.substr(0, n) != start.substr(0, n)) return Opening::Garbage;
  if (bytes.find("\n\n") != std::string_view::npos || bytes.find("\r\n\r\n") != std::string_view::npos)
    return Opening::Event;
  return bytes.size() > longest_event ? Opening::Garbage : Opening::Unfinished;
}

}  // namespace calicograde::platform
