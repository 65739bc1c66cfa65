#include "routing/view.hpp"

#include <algorithm>
#include <cstdio>

#include "routing/tables.hpp"

namespace calicograde {
namespace {

const char* word(Phase p) {
  switch (p) {
    case Phase::Waiting: return "waiting";
    case Phase::Reading: return "reading";
    case Phase::Handing: return "handing";
    case Phase::Answering: return "answering";
    case Phase::Streaming: return "streaming";
    case Phase::Over: return "over";
  }
  return "?";
}

std::string why(const Engine& e, const EngineView& v) {
  char text[160] = "";
  if (v.doubted && v.silent)
    std::snprintf(
        text, sizeof text, "doubted: silent%s",
        v.silence ? (" for " + std::to_string(std::lround(v.silence->as_millis())) + " ms").c_str() : "");
  else if (v.doubted)
    std::snprintf(text, sizeof text, "doubted: %zu of its last %zu sends failed", v.failures, v.judged);
  else if (v.closed) std::snprintf(text, sizeof text, "answered full a moment ago");
  else if (e.lifecycle == Lifecycle::Draining) std::snprintf(text, sizeof text, "drains, or is held out");
  else if (e.lifecycle == Lifecycle::Gone) std::snprintf(text, sizeof text, "gone");
  return text;
}

}  // namespace

std::vector<Standing> standings(const Router& router) {
  std::vector<Standing> out;
  for (const auto& [id, e] : router.state().engines_) out.push_back({id, e.lifecycle, e.doubted});
  return out;
}

std::vector<EngineView> view_engines(const Router& router, Instant now, std::optional<EngineId> after,
                                     std::size_t most) {
  const auto& engines = router.state().engines_;
  std::vector<EngineView> out;
  for (auto it = after ? engines.upper_bound(*after) : engines.begin();
       it != engines.end() && out.size() < most; ++it) {
    const Engine& e = it->second;
    EngineView v;
    v.entry = e.entry, v.entry.lifecycle = e.lifecycle, v.stage = e.stage;
    v.doubted = e.doubted, v.silent = e.silent;
    v.closed = std::any_of(e.full_until.begin(), e.full_until.end(),
                           [&](const auto& closed) { return closed.second > now; });
    v.reading_tokens = booked(e.reading), v.writing_tokens = booked(e.writing);
    v.reading = e.reading.size(), v.writing = e.writing.size();
    v.out = static_cast<std::size_t>(std::max(0, e.out));
    const auto judged = e.failures.since(Instant{});
    v.judged = judged.size(), v.failures = static_cast<std::size_t>(sum(judged));
    if (!e.awaited.empty()) v.silence = e.silence(now);
    v.texts = e.kept.size();
    v.why = why(e, v);
    out.push_back(std::move(v));
  }
  return out;
}

std::vector<InferenceView> view_inferences(const Router& router, Instant now, InfId after, std::size_t most) {
  const auto& infs = router.state().infs_;
  std::vector<InferenceView> out;
  for (auto it = infs.upper_bound(after); it != infs.end() && out.size() < most; ++it) {
    const Inference& f = it->second;
    InferenceView v;
    v.inf = it->first, v.route = f.what.route, v.phase = word(f.phase), v.sends = f.sends.size();
    v.out = static_cast<std::size_t>(
        std::count_if(f.sends.begin(), f.sends.end(), [](const Send& s) { return s.out; }));
    v.prompt_tokens = f.what.prompt_tokens, v.writer = f.writer;
    for (const Send& s : f.sends)
      if (s.to_reader) v.reader = s.engine;
    v.ends_in = f.ends - now;
    out.push_back(std::move(v));
  }
  return out;
}

}  // namespace calicograde
