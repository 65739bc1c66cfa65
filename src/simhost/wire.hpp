#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.hpp"
#include "platform/names.hpp"

namespace calicograde::simhost {

// Input that can't be understood. The text names the record and the position.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct BatchHeader {
  std::uint32_t number = 0;
  std::uint32_t length = 0;
  Instant now;
};
inline constexpr std::size_t batch_header_size = 16;
BatchHeader read_header(std::span<const std::uint8_t> bytes);

// Walks the records of a batch. The caller takes the instance, then the record by its code.
class RecordReader {
 public:
  RecordReader(std::uint32_t batch, std::span<const std::uint8_t> body) : batch_(batch), body_(body) {}
  bool done() const { return at_ == body_.size(); }

  struct Record {
    std::uint32_t instance = 0;
    enum class What { Boot, Shutdown, Happened } what = What::Happened;
    std::uint64_t seed = 0;
    std::string_view settings;
    Event event;
    std::vector<float> report;  // to be named by the settings of the instance
  };
  void next(Record& out);
  [[noreturn]] void fail(const std::string& why) const;

 private:
  std::uint64_t number(int bytes);
  double f64();
  double f32();
  Span span();
  EngineId engine();
  EndedAs outcome();
  bool flag(const char* what);
  void report(Record& out);
  std::span<const std::uint8_t> take(std::size_t n);

  std::uint32_t batch_;
  std::span<const std::uint8_t> body_;
  std::size_t at_ = 0;
  std::size_t record_at_ = 0;
  int record_ = -1;
  const char* name_ = "record";
};

std::optional<LoadReport> name_report(const std::vector<float>& values,
                                      const std::vector<platform::ReportField>& fields);

// Builds a reply in a buffer that is used again for the next batch.
class ReplyWriter {
 public:
  void begin(std::uint32_t batch);
  void add(std::uint32_t instance, const Action& action);
  void panic(std::uint32_t instance, std::string_view text);
  const std::vector<std::uint8_t>& finish();

 private:
  void number(std::uint64_t value, int bytes);
  void time(Span s);
  void engine(const EngineId& e);
  void text(std::string_view t);
  void head(std::uint16_t code, std::uint32_t instance);
  std::vector<std::uint8_t> out_;
};

}  // namespace calicograde::simhost
