#pragma once

// Types: what is remembered of engines, sends and inferences, and how samples are kept. The tables that they
// stand in, and all that is decided, are in tables.hpp and router.cpp.

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/types.hpp"

namespace calicograde {

inline double quantile(std::vector<double> v, double part, double absent) {
  if (v.empty()) return absent;
  const auto at = v.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(v.size()) * part);
  std::nth_element(v.begin(), at, v.end());
  return *at;
}
inline double sum(const std::vector<double>& v) { return std::accumulate(v.begin(), v.end(), 0.0); }
inline double mean(const std::vector<double>& v, double absent = 0) {
  return v.empty() ? absent : sum(v) / static_cast<double>(v.size());
}
inline double deviation(std::vector<double> v) {
  const double m = mean(v);
  for (double& x : v) x = (x - m) * (x - m);
  return std::sqrt(mean(v));
}

// The last few samples themselves; figures are worked out when asked for.
class LastFew {
 public:
  explicit LastFew(std::size_t most) : most_(most) {}
  void add(Instant at, double value) {
    if (samples_.size() == most_) samples_.erase(samples_.begin());
    samples_.emplace_back(at, value);
  }
  bool full() const { return samples_.size() == most_; }
  Instant oldest() const { return samples_.front().first; }
  bool any_since(Instant at) const { return !samples_.empty() && samples_.back().first >= at; }
  std::vector<double> since(Instant at, std::vector<double> out = {}) const {
    for (const auto& [when, value] : samples_)
      if (when >= at) out.push_back(value);
    return out;
  }

 private:
  std::size_t most_;
  std::vector<std::pair<Instant, double>> samples_;  // few: no room is taken before the first one
};

using Ledger = std::map<InfId, std::pair<double, Instant>>;  // tokens booked, and since when, by inference
struct Engine {
  explicit Engine(std::size_t few = 1, std::size_t fewer = 1)
      : waits(fewer), gaps(few), pace(few), first_token(few), failures(few) {}
  EngineEntry entry;
  Stage stage = Stage::Both;
  bool reads = false, writes = false, itself = false;  // itself: reads for its own answers
  double memory = 1;
  Lifecycle lifecycle = Lifecycle::Gone;
  Ledger reading, writing;
  std::map<TextKey, std::pair<double, Instant>> kept;  // texts: tokens, and when last touched
  Instant kept_since;                                  // what was last touched before is taken to be gone
  LastFew waits, gaps, pace, first_token, failures;
  std::map<std::pair<InfId, std::size_t>, Instant> awaited;  // sends not begun, by when they were sent
  std::map<std::size_t, Instant> full_until;                 // by model route
  Instant last_sign, linked_until, heard, next_trial, report_at;
  Instant last_byte;  // on any connection, as far as was told (EnginesHeard)
  std::optional<Instant> last_send;
  bool doubted = false, silent = false;
  std::size_t rack = 0;             // counted from 0
  int out = 0;                      // sends
  double turn = 0;                  // where this front stands among all, in [0, 1)
  int read_for = 0, write_for = 0;  // siblings booked here
  std::optional<LoadReport> report;
  double booked_at_report = 0;
  mutable std::pair<Instant, double> slow;  // slowness, as worked out at that time

  void is_of(const EngineKind& kind, bool writers_read, double memory_if_not_told) {
    stage = kind.stage, memory = kind.memory_tokens > 0 ? kind.memory_tokens : memory_if_not_told;
    itself = stage == Stage::Both || (stage == Stage::Write && writers_read);
    reads = stage == Stage::Read || itself, writes = stage != Stage::Read;
  }
  // Since its last sign, or since the oldest thing still awaited was asked for: an idle engine is not silent.
  Span silence(Instant now) const {
    Instant oldest = now;
    for (const auto& [key, at] : awaited) oldest = std::min(oldest, at);
    return now - std::max(oldest, last_sign);
  }
};

struct Send {
  EngineId engine;
  Instant at;
  bool to_reader = false, far = false;  // far: the state comes from another rack
  bool out = true, started = false, cancelled = false;
  bool ran = true;  // may have run; false once proven otherwise
  double work = 0;  // tokens to be read before it can end, those booked ahead of it included
};

enum class Phase { Waiting, Reading, Handing, Answering, Streaming, Over };

struct Inference {
  Arrived what;
  Instant target, ends, held_since;
  double answer_tokens = 0;
  Phase phase = Phase::Waiting;
  Stage waits_for = Stage::Read;
  std::optional<EngineId> writer, state_at, place_at, home;
  std::optional<bool> place_held;  // none until the place asked for was answered
  int places = 0;
  int local_failures = 0;  // sends that this front's machine could not make
  Instant not_before;      // the next send, after one of those
  Instant place_asked;
  std::optional<Instant> place_due;      // it is to be asked for then
  std::optional<Instant> no_sign_since;  // a send to an engine that gave no sign of running was made then
  bool without_place = false;            // a read was given up for the sake of a place
  bool place_opens = false;              // there was no open connection for the place's question
  std::vector<Send> sends;
  std::set<EngineId> failed_at;

  double whole() const { return what.prompt_tokens + answer_tokens; }
  bool knows(const EngineId& id) const {
    return writer == id || state_at == id || place_at == id ||
           any([&](const Send& s) { return s.engine == id; });
  }
  bool any(auto which) const { return std::any_of(sends.begin(), sends.end(), which); }
  // Sends that were made, or may still be.
  int sends_made() const { return static_cast<int>(sends.size()) - local_failures; }
  bool any_out() const {
    return any([](const Send& s) { return s.out; });
  }
  bool out_at(bool reader) const {
    return any([&](const Send& s) { return s.out && !s.cancelled && s.to_reader == reader; });
  }
};

// The same at every front: mixes a text's key with an engine's id.
inline std::uint64_t hash(std::uint64_t key, const EngineId& id) {
  const std::uint64_t parts[] = {id.address[0] * 256ULL + id.address[1],
                                 id.address[2] * 256ULL + id.address[3], id.port};
  for (const std::uint64_t part : parts) {
    key = (key ^ part) * 0x9E3779B97F4A7C15ULL;
    key ^= key >> 29;
  }
  return key;
}

inline std::string text_of(const EngineId& id) {
  std::string text;
  for (int part : id.address) text += std::to_string(part) + '.';
  text.back() = ':';
  return text + std::to_string(id.port);
}

}  // namespace calicograde
