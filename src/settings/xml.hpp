#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.hpp"

namespace calicograde::settings {

// One thing that is wrong in a file: where, what, and how to mend it.
struct Fault {
  std::string file;
  int line = 0;
  std::string what, mend;
};
std::string text_of(const Fault& fault);  // FILE:LINE: WHAT; MEND

// "250ms", "3s", "2m", "1h"; none without a unit or when it is no time.
std::optional<Span> parse_time(std::string_view text);
// "16KiB", "4MiB", "512B"; none without a unit.
std::optional<std::size_t> parse_size(std::string_view text);

// An element of a file that was read. A plain tree of the project's own, so that nothing outside this package
// sees the library that reads it.
struct Element {
  std::string name;
  int line = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
  std::vector<Element> children;

  const std::string* attribute(std::string_view attribute_name) const;
  std::string text(std::string_view attribute_name, std::string_view absent = {}) const;
  Span time(std::string_view attribute_name, Span absent) const;
  std::size_t size(std::string_view attribute_name, std::size_t absent) const;
  double number(std::string_view attribute_name, double absent) const;
  bool flag(std::string_view attribute_name, bool absent) const;
  const Element* child(std::string_view child_name) const;
  std::vector<const Element*> all(std::string_view child_name) const;
};

// Reads XML and checks it against a schema; every fault that the reader finds is appended, in the order of
// lines. None if the text is no XML at all. External entities are not followed.
std::optional<Element> read_xml(const std::string& file, std::string_view text, std::string_view schema,
                                std::vector<Fault>& faults);
inline constexpr std::size_t most_settings_bytes = 4 << 20;
// The whole of a file; a fault if it can't be read or is larger than `most_bytes`.
std::optional<std::string> read_file(const std::string& file, std::vector<Fault>& faults,
                                     std::size_t most_bytes = most_settings_bytes);

}  // namespace calicograde::settings
