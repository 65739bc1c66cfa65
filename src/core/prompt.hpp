#pragma once

#include <optional>
#include <string>
#include <vector>

namespace calicograde {

// What a client asks of a model, in no protocol's shape: client codecs make it, engine codecs take it.
struct Turn {
  bool assistant = false;
  std::string text;
};
struct Prompt {
  std::string system;  // empty = none
  std::vector<Turn> turns;
  int max_tokens = 1;
  std::vector<std::string> stops;
  std::optional<double> temperature, top_p;
  std::optional<int> top_k;
};

// Tokens as an engine counts them. Prompt tokens include those found kept.
struct Usage {
  double prompt_tokens = 0, kept_tokens = 0, answer_tokens = 0;
};

}  // namespace calicograde
