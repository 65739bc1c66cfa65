#pragma once

#include <string>

#include "core/time.hpp"

namespace calicograde::lab {

struct MeasureOptions {
  double rate = 50;  // calls a second, half through the front and half straight to an engine
  Span length = Span::millis(10000);
  int hold = 0;  // streams to hold open at once afterwards
};
// One front with mixed stand-in engines; prints rows of a Markdown table: what the front adds to the first
// token beside a direct call in the same run, its CPU for each streamed token, its memory for each stream
// held open.
int measure(const MeasureOptions& options, const std::string& daemon, const std::string& folder);

}  // namespace calicograde::lab
