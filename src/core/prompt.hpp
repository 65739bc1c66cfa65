#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"

namespace calicograde {

// What a client asks of a model, in no protocol's shape: client codecs make it, engine codecs take it.
struct ToolUse {
  std::string id, name, input;  // input: a JSON object, as text
};
struct ToolResult {
  std::string id, text;
  bool error = false;
};
struct Turn {
  bool assistant = false;
  std::string text;
  std::vector<ToolUse> uses = {};        // of an assistant's turn
  std::vector<ToolResult> results = {};  // of a user's turn, before its text
};
struct ToolOffer {
  std::string name, description, schema;  // schema: a JSON object, as text
};
struct ToolChoice {
  enum class How { Auto, Any, None, One } how = How::Auto;
  std::string name;  // of the One
  bool one_at_once = false;
};
struct Prompt {
  std::string system;  // empty = none
  std::vector<Turn> turns;
  int max_tokens = 1;
  std::vector<std::string> stops;
  std::optional<double> temperature, top_p;
  std::optional<int> top_k;
  std::vector<ToolOffer> tools = {};
  ToolChoice choice = {};
};

// Tokens as an engine counts them. Prompt tokens include those found kept.
struct Usage {
  double prompt_tokens = 0, kept_tokens = 0, answer_tokens = 0;
};

}  // namespace calicograde
