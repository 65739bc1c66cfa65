#pragma once

#include "soak/soak.hpp"

// One short run of the soak with windows of trouble that a test names: front nodes, engines and clients as
// processes of their own, judged by what went over their sockets.
namespace calicograde::soak {

constexpr std::size_t prefill_engines = 4, decode_engines = 5;
constexpr std::size_t a_prefill_engine = 0, a_decode_engine = prefill_engines;

inline Options options() {
  Options out;
  out.daemon = CALICOGRADED;
  out.engine_program = CALICOGRADE_SOAK;
  out.nodes = 3;
  out.prefill_engines = prefill_engines;
  out.decode_engines = decode_engines;
  out.clients_each = 6;
  out.length = Span::millis(6500);
  return out;
}

inline Result play(std::uint64_t seed, std::vector<Window> windows, const RunSettings& settings = {}) {
  Options o = options();
  o.settings = settings;
  return run(Schedule{seed, o.nodes, o.prefill_engines + o.decode_engines, o.length, std::move(windows)}, o);
}

inline Window trouble_at(Trouble trouble, int from_ms, int length_ms, std::size_t engine) {
  return {trouble, Span::millis(from_ms), Span::millis(length_ms), 0, engine};
}

}  // namespace calicograde::soak
