#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"

// The one place where the platform's names of settings are read: they come as path=value lines on the
// simulator's wire and as nested JSON to a front node. Needs a compiler and nothing else.
namespace calicograde::platform {

// Settings that can't be understood. The text names the path.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Values by path. Items of a list of objects stand under .0, .1 and so on, their number under .count; plain
// lists are joined by commas; spaces and commas inside a value are '_'.
using Values = std::map<std::string, std::string, std::less<>>;
Values pairs_of(std::string_view text);  // path=value lines; throws SettingsError

// The same everywhere (FNV-1a, 64 bits).
constexpr std::uint64_t text_hash(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

enum class ReportField { Held, Waiting, Memory, Tokens, Unknown };

struct Decoded {
  Settings settings;
  std::vector<ReportField> report_fields;
  std::vector<std::string> routes, kinds, zones;  // names, by number
};
// Throws SettingsError.
Decoded read_settings(const Values& values);

}  // namespace calicograde::platform
