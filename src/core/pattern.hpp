#pragma once

#include <string_view>

namespace calicograde {

// Names of models and tools in the settings: a name, or a prefix that ends in *.
constexpr bool is_pattern(std::string_view text) {
  return !text.empty() && text.find('*') >= text.size() - 1;
}
constexpr bool fits(std::string_view pattern, std::string_view name) {
  if (!pattern.ends_with('*')) return pattern == name;
  pattern.remove_suffix(1);
  return name.starts_with(pattern);
}

}  // namespace calicograde
