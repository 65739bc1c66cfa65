#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace calicograde::platform {

// Cuts what comes of a watch into its JSON objects, however they are laid out: one a line, indented over
// many, several in one piece, one in several pieces. Free of I/O.
class Objects {
 public:
  explicit Objects(std::size_t most_bytes);
  ~Objects();
  // Appends those that are whole. False: what came is no JSON, or one is longer than `most_bytes`; nothing
  // more can be read then.
  bool feed(std::string_view bytes, std::vector<std::string>& out);

 private:
  struct Parts;
  const std::size_t most_;
  std::unique_ptr<Parts> parts_;
};

}  // namespace calicograde::platform
