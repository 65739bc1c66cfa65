#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "core/prompt.hpp"
#include "core/types.hpp"

// What the module is told of an inference, worked out from what the client sent. Free of I/O and clocks.
namespace calicograde::intake {

// Tokens of a text, estimated from its bytes; corrected by what engines report of prompts they have read. The
// last few reports themselves are kept, for each model. Not thread-safe.
class TokenMeter {
 public:
  double estimate(const std::string& model, std::size_t bytes) const;
  void learn(const std::string& model, std::size_t bytes, double tokens);

 private:
  std::map<std::string, std::deque<std::pair<double, double>>> seen_;  // bytes, tokens
};

// Bytes of a prompt as engines get it, and of its shared opening.
std::size_t bytes_of(const Prompt& prompt);
std::size_t bytes_of(const ToolOffer& tool);

// A session is named by its user and how it opened: its later turns repeat that opening. 0 is never returned.
TextKey session_key(std::string_view user_id, const Prompt& prompt);
// 0 for an opening too short to be worth keeping together.
TextKey shared_key(std::string_view model, std::string_view opening);

// A customer by the credentials that its calls come with, for limits alone; 0 = none were given. Two may fall
// together: they then share what one may have.
std::uint16_t customer_key(std::string_view credentials);

struct BudgetRule {
  Span timeout, per_1000_tokens;
};
// Route timeout, grown with the prompt, shortened by what the client's header says (milliseconds, or a number
// with ms or s). None if the header is no time at all.
std::optional<Span> budget(const BudgetRule& rule, double prompt_tokens, std::string_view header);

}  // namespace calicograde::intake
