#include "drain/drain.hpp"

#include <algorithm>
#include <cstdio>

namespace calicograde::drain {
namespace {

constexpr Span pace_over = Span::millis(10000);
constexpr std::size_t counts_kept = 256;

}  // namespace

const char* word(State state) {
  switch (state) {
    case State::Serving: return "serving";
    case State::Draining: return "draining";
    case State::Done: return "drained";
    case State::CutShort: return "cut short";
  }
  return "?";
}

std::vector<Step> Drain::ask(Instant now, const Ask& ask) {
  std::vector<Step> out;
  const std::optional<Instant> limit = ask.limit > Span{} ? std::optional(now + ask.limit) : std::nullopt;
  if (state_ != State::Serving) {
    if (limit && (!limit_at_ || *limit < *limit_at_) && state_ == State::Draining)
      limit_at_ = limit, ask_.cut = ask.cut, late_ = false;
    if (ask.remember && !ask_.remember) ask_.remember = true, out.push_back(Keep{true});
    out.push_back(Note{"drain " + std::to_string(number_) + " asked for again by " + ask.by + "; " + ask_.by +
                       " had asked first"});
    return out;
  }
  state_ = State::Draining, ++number_, ask_ = ask, since_ = now, limit_at_ = limit;
  counted_ = late_ = false, at_first_ = 0, counts_.clear(), left_ = {};
  out.push_back(RefuseNew{});
  if (ask.remember) out.push_back(Keep{true});
  char text[160];
  std::snprintf(text, sizeof text, "drain %llu asked for by %s, at the most %.1f s",
                static_cast<unsigned long long>(number_), ask.by.substr(0, 60).c_str(), ask.limit.seconds());
  out.push_back(Note{text});
  return out;
}

std::vector<Step> Drain::resume(Instant now, const std::string& by) {
  Ask a;
  a.by = by, a.limit = Span{}, a.remember = true;
  auto out = ask(now, a);
  std::erase_if(out, [](const Step& s) { return std::holds_alternative<Keep>(s); });  // it stands already
  return out;
}

std::pair<Drain::Back, std::vector<Step>> Drain::take_back(Instant, std::optional<std::uint64_t> number,
                                                           const std::string& by) {
  if (state_ == State::Serving) return {Back::NotDraining, {}};
  if (number && *number != number_) return {Back::OtherNumber, {}};
  const State was = state_;
  state_ = State::Serving;
  std::vector<Step> out{TakeNew{}};
  if (ask_.remember) out.push_back(Keep{false});
  out.push_back(Note{"drain " + std::to_string(number_) + " taken back by " + by + ", it was " + word(was)});
  return {Back::Taken, std::move(out)};
}

std::vector<Step> Drain::seen(Instant now, const Left& left) {
  std::vector<Step> out;
  if (state_ == State::Serving || state_ == State::Done) return left_ = left, out;
  if (!counted_) counted_ = true, at_first_ = left.all();
  left_ = left;
  counts_.emplace_back(now, left.all());
  while (counts_.size() > counts_kept || now - counts_.front().first > pace_over) counts_.pop_front();
  char text[200];
  if (left.none()) {
    std::snprintf(text, sizeof text, "drain %llu done after %.1f s: %zu ended%s",
                  static_cast<unsigned long long>(number_), (now - *since_).seconds(), at_first_,
                  state_ == State::CutShort ? ", some cut short at its limit" : "");
    state_ = State::Done;
    out.push_back(Note{text});
    return out;
  }
  if (state_ != State::Draining || !limit_at_ || now < *limit_at_ || late_) return out;
  if (ask_.cut) {
    state_ = State::CutShort;
    out.push_back(CutOff{});
  } else {
    late_ = true;
  }
  std::snprintf(text, sizeof text,
                "drain %llu reached its limit with %zu inferences, %zu calls, %zu held: %s",
                static_cast<unsigned long long>(number_), left.inferences, left.calls, left.holdings,
                ask_.cut ? "errored now" : "they go on");
  out.push_back(Note{text});
  return out;
}

// By how fast it went lately; none while nothing has ended yet.
std::optional<Span> Drain::ends_in(Instant now) const {
  if (state_ == State::Done) return Span{};
  if (counts_.size() < 2 || counts_.front().second <= counts_.back().second) return std::nullopt;
  const double ended = static_cast<double>(counts_.front().second - counts_.back().second);
  const Span over = now - counts_.front().first;
  if (over <= Span{}) return std::nullopt;
  return over * (static_cast<double>(counts_.back().second) / ended);
}

Progress Drain::progress(Instant now) const {
  Progress p;
  p.state = state_, p.number = number_, p.left = left_;
  if (state_ == State::Serving) return p;
  p.by = ask_.by, p.at_first = at_first_, p.cut = ask_.cut, p.remember = ask_.remember, p.late = late_;
  if (since_) p.since = now - *since_;
  p.ends_in = ends_in(now);
  if (limit_at_ && state_ == State::Draining) {
    p.limit_in = std::max(Span{}, *limit_at_ - now);
    if (p.ends_in && ask_.cut) p.ends_in = std::min(*p.ends_in, *p.limit_in);
  }
  return p;
}

}  // namespace calicograde::drain
