#pragma once

// The tables of the decisions: the two ledgers and what is booked in them, the flow estimate, the texts that
// engines are taken to keep. Part of the module, as router.cpp is.
#include "routing/state.hpp"

namespace calicograde {

inline double booked(const Ledger& ledger) {
  double tokens = 0;
  for (const auto& [inf, b] : ledger) tokens += b.first;
  return tokens;
}

// What a front books in one ledger, over its last bookings: one that books seldom has, at any one moment, far
// more or far less than its mean.
struct Flow {
  explicit Flow(std::size_t most) : made(most), freed(most) {}
  LastFew made, freed;              // tokens x seconds, when freed
  double a_second = 0, tokens = 0;  // bookings, and the mean of what is booked
  void work_out(Instant now, Instant begun, Span window) {
    const Instant from = std::max(begun, now - window);
    const auto recent = made.since(from), held = freed.since(from);
    const Span over = now - (made.full() ? std::max(from, made.oldest()) : from);
    a_second = static_cast<double>(recent.size()) / std::max(1.0, over.seconds());
    tokens = held.empty() ? 0 : a_second * sum(held) / static_cast<double>(held.size());
  }
};

// The ageing table of the texts that an engine keeps: what was last touched before kept_since is taken to be
// gone.
inline void keep(Engine& e, TextKey key, double tokens, Instant now) {
  if (key != 0) e.kept[key] = {tokens, now};
}
// A bound for long lives: those touched longest ago go, and all that has been found gone.
inline void forget_older_half(Engine& e) {
  std::vector<Instant> touched;
  for (const auto& [key, text] : e.kept) touched.push_back(text.second);
  const auto middle = touched.begin() + static_cast<std::ptrdiff_t>(touched.size() / 2);
  std::nth_element(touched.begin(), middle, touched.end());
  const Instant since = std::max(*middle, e.kept_since);
  std::erase_if(e.kept, [&](const auto& k) { return k.second.second < since; });
}
inline double knows(const Engine& e, TextKey key, double most) {
  const auto it = e.kept.find(key);
  return key != 0 && it != e.kept.end() && it->second.second >= e.kept_since
             ? std::min(it->second.first, most)
             : 0;
}

// The engines and inferences at hand, and what is booked in the two ledgers.
struct State {
  explicit State(std::size_t bookings_kept) : reading_(bookings_kept), writing_(bookings_kept) {}
  Instant now_;
  std::map<EngineId, Engine> engines_;
  std::map<InfId, Inference> infs_;
  std::map<std::uint16_t, std::size_t> racks_;  // counted in the order in which they were named
  std::vector<InfId> ended_;
  Flow reading_, writing_;

  // A restart under the same id, or a return: nothing learnt before holds any more.
  Engine& enlist(const EngineEntry& entry, Engine fresh, double turn) {
    Engine& eng = engines_[entry.engine];
    if (eng.entry.started != entry.started || eng.lifecycle == Lifecycle::Gone) {
      fresh.read_for = eng.read_for, fresh.write_for = eng.write_for;
      fresh.out = eng.out;  // the old one's sends still have their ends to come
      fresh.turn = turn, fresh.heard = now_;
      eng = std::move(fresh);
    }
    eng.entry = entry, eng.lifecycle = entry.lifecycle;
    eng.rack = racks_.emplace(entry.rack, racks_.size()).first->second;
    return eng;
  }
  void take_report(const EngineId& id, const std::optional<LoadReport>& r) {
    Engine* e = engine(id);
    if (e && r) e->report = r, e->report_at = now_, e->booked_at_report = booked(e->writing);
  }
  bool pending() const {
    return std::any_of(infs_.begin(), infs_.end(), [](const auto& i) {
      return i.second.phase != Phase::Streaming && i.second.phase != Phase::Over;
    });
  }
  void forget_ended() {
    for (InfId id : std::exchange(ended_, {}))
      if (const auto it = infs_.find(id); it != infs_.end() && !it->second.any_out()) infs_.erase(it);
  }

  Engine* engine(const EngineId& id) {
    const auto it = engines_.find(id);
    return it == engines_.end() ? nullptr : &it->second;
  }

  std::pair<Inference*, Send*> find(InfId inf, std::size_t k) {
    const auto it = infs_.find(inf);
    const bool known = it != infs_.end() && k < it->second.sends.size();
    return known ? std::pair{&it->second, &it->second.sends[k]} : std::pair<Inference*, Send*>{};
  }

  void book_reader(Inference& f, const EngineId& id, double tokens) {
    engines_[id].reading[f.what.inf] = {std::max(1.0, tokens), now_};
    reading_.made.add(now_, 1);
  }
  void book_writer(Inference& f, const EngineId& id) {
    if (f.writer && f.writer != id) free(*f.writer, f.what.inf, false, true);
    if (engines_[id].writing.insert_or_assign(f.what.inf, std::pair{f.whole(), now_}).second)
      writing_.made.add(now_, 1);
    f.writer = id;
  }

  void free(const EngineId& id, InfId inf, bool read, bool write) {
    Engine* e = engine(id);
    const auto from = [&](Ledger& ledger, Flow& flow) {
      const auto it = ledger.find(inf);
      if (it == ledger.end()) return;
      flow.freed.add(now_, it->second.first * (now_ - it->second.second).seconds());
      ledger.erase(it);
    };
    if (e && read) from(e->reading, reading_);
    if (e && write) from(e->writing, writing_);
  }

  void unbook(Inference& f) {
    for (const auto& s : f.sends) free(s.engine, f.what.inf, true, true);
    if (f.writer) free(*f.writer, f.what.inf, true, true);
    f.writer.reset();
    f.state_at.reset();
    f.place_at.reset();
  }
};

}  // namespace calicograde
