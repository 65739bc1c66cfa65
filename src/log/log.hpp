#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace calicograde::log {

enum class Level { Debug, Info, Warn, Error };

// One value of a log line.
struct Field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double> value;
};

// Structured log: one JSON object a line, on standard error or in a file. Thread-safe; writes are buffered by
// spdlog's own thread, whose queue is bounded: when it is full the oldest lines give way, and no caller ever
// waits; how many were dropped is told by a line of its own. Beside wall time each line has `mono_ms`, the
// machine's monotonic clock, which tells their order whatever was done to the other.
class Log {
 public:
  // Throws std::runtime_error if the file can't be opened. Empty: standard error.
  Log(const std::string& file, Level level);
  ~Log();
  bool shows(Level level) const;
  void line(Level level, std::string_view event, std::initializer_list<Field> fields = {});
  void set_level(Level level);
  std::size_t dropped() const;  // lines, so far

 private:
  void write(Level level, std::string_view event, std::initializer_list<Field> fields);
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

Level level_named(std::string_view name);

}  // namespace calicograde::log
