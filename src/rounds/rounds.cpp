#include "rounds/rounds.hpp"

#include <algorithm>
#include <cmath>

#include "core/pattern.hpp"

namespace calicograde::rounds {
namespace {

// A call that could not have an answer any more is not begun.
constexpr Span least_call = Span::millis(20);

}  // namespace

bool calls(const Rules& rules, std::string_view tool) {
  return std::any_of(rules.tools.begin(), rules.tools.end(), [&](const auto& p) { return fits(p, tool); });
}

Rounds::Rounds(Rules rules, std::vector<Tool> tools, std::set<std::string> client_tools, Instant now,
               Span budget, bool streams, int max_tokens)
    : rules_(std::move(rules)),
      client_tools_(std::move(client_tools)),
      streams_(streams),
      ends_(now + budget),
      tokens_left_(max_tokens) {
  for (auto& t : tools)
    if (!client_tools_.contains(t.name) && calls(rules_, t.name)) tools_[t.name] = t.effect;
}

Effect Rounds::effect_of(const std::string& tool) const {
  const auto it = tools_.find(tool);
  return it == tools_.end() ? Effect::NonRetriable : it->second;
}

Rounds::Whose Rounds::whose(const std::string& tool) const {
  if (tools_.empty() || client_tools_.contains(tool)) return Whose::Client;
  return tools_.contains(tool) ? Whose::Front : Whose::Nobody;
}

void Rounds::answer_began(Instant now) {
  if (!began_) began_ = now;
}

std::optional<std::string> Rounds::refusal(const Asked& a) const {
  if (a.whose == Whose::Nobody) return "there is no tool '" + a.use.name.substr(0, 100) + "'";
  if (!a.use.object) return "the input of '" + a.use.name + "' is no JSON object";
  if (a.use.input.size() > rules_.input_bytes)
    return "the input has " + std::to_string(a.use.input.size()) + " bytes, at most " +
           std::to_string(rules_.input_bytes) + " are allowed";
  // The model is told that the outcome is unknown, and may well ask again: rule 2 holds against it too.
  if (never_again_.contains({a.use.name, a.use.input}))
    return "this call may have run before, its outcome is unknown, and it is not made again";
  if (made_ >= rules_.most_calls)
    return "the message has made " + std::to_string(made_) + " calls, which is the most";
  return std::nullopt;
}

std::vector<Step> Rounds::answer_ended(Instant now, std::vector<Use> uses, bool cut, double tokens) {
  if (over_) return {};
  // The clock of the budget stood still while the answer came.
  if (streams_ && began_) ends_ = ends_ + (now - *began_);
  began_.reset();
  ++round_;
  tokens_left_ -= std::max(1.0, std::ceil(tokens));
  uses_.clear(), line_.clear();
  for (auto& u : uses) {
    Asked a;
    a.whose = whose(u.name);
    a.use = std::move(u);
    uses_.push_back(std::move(a));
  }
  if (uses_.empty() || cut) {
    over_ = true;
    steps_.push_back(EndMessage{cut ? EndMessage::Why::MaxTokens : EndMessage::Why::Natural});
    return done();
  }
  in_calls_ = true;
  for (std::size_t k = 0; k < uses_.size(); ++k) {
    const bool fresh = ids_.insert(uses_[k].use.id).second;
    if (uses_[k].whose == Whose::Client) continue;
    if (!fresh) settle(k, {"the id '" + uses_[k].use.id + "' was used before", true});
    else if (const auto why = refusal(uses_[k])) settle(k, {*why, true});
    else line_.push_back(k);
  }
  admit(now);
  return done();
}

void Rounds::settle(std::size_t use, Result result) {
  uses_[use].result = result;
  steps_.push_back(ShowResult{use, std::move(result)});
}

// Makes the calls that wait, as far as the bounds let it; ends the round once none is left.
void Rounds::admit(Instant now) {
  while (!line_.empty() && out_ < rules_.most_at_once) {
    const std::size_t k = line_.front();
    line_.pop_front();
    Asked& a = uses_[k];
    // Asked for twice in one answer, the first of them having ended unknown meanwhile.
    if (const auto why = refusal(a)) {
      settle(k, {*why, true});
      continue;
    }
    // Two equal calls of a tool that must not run twice go one after the other.
    const bool twin = effect_of(a.use.name) != Effect::Retriable &&
                      std::any_of(uses_.begin(), uses_.end(), [&](const Asked& o) {
                        return o.out && o.use.name == a.use.name && o.use.input == a.use.input;
                      });
    if (twin) {
      line_.push_front(k);
      break;
    }
    a.until = std::min(ends_, now + rules_.call_time);
    if (a.until - now < least_call) {
      settle(k, {"no time is left to make this call; it did not run", true});
      continue;
    }
    a.out = true, ++out_, ++made_;
    steps_.push_back(MakeCall{k, a.until});
  }
  if (line_.empty() && out_ == 0 && in_calls_) finish(now);
}

void Rounds::finish(Instant now) {
  using Why = EndMessage::Why;
  in_calls_ = false;
  const bool clients =
      std::any_of(uses_.begin(), uses_.end(), [](const Asked& a) { return a.whose == Whose::Client; });
  if (clients) {
    over_ = true, steps_.push_back(EndMessage{Why::ForClient});
  } else if (round_ >= rules_.most_rounds) {
    over_ = true, steps_.push_back(EndMessage{Why::Paused});
  } else if (tokens_left_ < 1) {
    over_ = true, steps_.push_back(EndMessage{Why::MaxTokens});
  } else if (now >= ends_) {
    over_ = true, steps_.push_back(FailMessage{"the budget ended while tools ran"});
  } else {
    steps_.push_back(NextRound{ends_, static_cast<int>(tokens_left_)});
  }
}

std::vector<Step> Rounds::call_ended(Instant now, std::size_t use, Ran ran, Result result) {
  if (use >= uses_.size() || !uses_[use].out) return {};
  Asked& a = uses_[use];
  a.out = false, --out_;
  const Effect effect = effect_of(a.use.name);
  if (ran != Ran::No && effect != Effect::Retriable) harm_ = true;
  if (ran == Ran::Unknown && effect == Effect::NonRetriable) {
    unsure_ = true;
    never_again_.emplace(a.use.name, a.use.input);
  }
  if (over_) return {};
  if (result.text.size() > rules_.result_bytes)
    result = {"the result has " + std::to_string(result.text.size()) + " bytes, at most " +
                  std::to_string(rules_.result_bytes) + " are passed on" +
                  (ran == Ran::Yes ? "; the tool did run" : ""),
              true};
  settle(use, std::move(result));
  admit(now);
  return done();
}

void Rounds::drop_all() {
  line_.clear();
  for (std::size_t k = 0; k < uses_.size(); ++k)
    if (uses_[k].out) {
      // Whether it ran is heard no more.
      const Effect effect = effect_of(uses_[k].use.name);
      if (effect != Effect::Retriable) harm_ = true;
      if (effect == Effect::NonRetriable) unsure_ = true;
      steps_.push_back(DropCall{k});
    }
}

std::vector<Step> Rounds::tick(Instant now) {
  if (over_ || !in_calls_) return {};
  if (now >= ends_) {
    over_ = true, in_calls_ = false;
    drop_all();
    steps_.push_back(FailMessage{"the budget ended while tools ran"});
  }
  return done();
}

std::vector<Step> Rounds::give_up() {
  if (over_) return {};
  over_ = true, in_calls_ = false;
  drop_all();
  return done();
}

std::vector<Rounds::Settled> Rounds::settled() const {
  std::vector<Settled> out;
  for (const auto& a : uses_) out.push_back({a.use, a.result});
  return out;
}

}  // namespace calicograde::rounds
