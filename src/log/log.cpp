#include "log/log.hpp"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <chrono>
#include <stdexcept>

namespace calicograde::log {
namespace {

constexpr std::size_t lines_waiting = 1024;  // each takes its room from the start

spdlog::level::level_enum to_spd(Level l) {
  switch (l) {
    case Level::Debug: return spdlog::level::debug;
    case Level::Info: return spdlog::level::info;
    case Level::Warn: return spdlog::level::warn;
    case Level::Error: break;
  }
  return spdlog::level::err;
}

void quote(std::string& out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') out += '\\', out += c;
    else if (u >= 0x20) out += c;
    else {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", u);
      out += code;
    }
  }
  out += '"';
}

}  // namespace

struct Log::Parts {
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::atomic<std::size_t> told_dropped = 0;
};

Log::Log(const std::string& file, Level level) : parts_(std::make_unique<Parts>()) {
  parts_->pool = std::make_shared<spdlog::details::thread_pool>(lines_waiting, 1);
  spdlog::sink_ptr sink;
  try {
    if (file.empty()) sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    else sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  } catch (const spdlog::spdlog_ex& e) {
    throw std::runtime_error("log file " + file + ": " + e.what());
  }
  parts_->logger = std::make_shared<spdlog::async_logger>("calicograde", sink, parts_->pool,
                                                          spdlog::async_overflow_policy::overrun_oldest);
  parts_->logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
  parts_->logger->flush_on(spdlog::level::warn);
  set_level(level);
}
Log::~Log() { parts_->logger->flush(); }

bool Log::shows(Level level) const { return parts_->logger->should_log(to_spd(level)); }
void Log::set_level(Level level) { parts_->logger->set_level(to_spd(level)); }

void Log::line(Level level, std::string_view event, std::initializer_list<Field> fields) {
  if (!shows(level)) return;
  // While lines are still being dropped, this one would be among them as likely as any other: a few at a
  // time.
  const std::size_t lost = dropped(), told = parts_->told_dropped;
  if (lost > told && parts_->told_dropped.exchange(lost) != lost)
    write(Level::Warn, "log lines dropped",
          {{"lines", static_cast<std::int64_t>(lost - told)}, {"in_all", static_cast<std::int64_t>(lost)}});
  write(level, event, fields);
}

std::size_t Log::dropped() const { return parts_->pool->overrun_counter(); }

void Log::write(Level level, std::string_view event, std::initializer_list<Field> fields) {
  const auto mono = std::chrono::steady_clock::now().time_since_epoch();
  std::string text = "\"mono_ms\":";
  text += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(mono).count());
  text += ",\"event\":";
  quote(text, event);
  for (const auto& f : fields) {
    text += ',';
    quote(text, f.name);
    text += ':';
    if (const auto* s = std::get_if<std::string_view>(&f.value)) quote(text, *s);
    else if (const auto* n = std::get_if<std::int64_t>(&f.value)) text += std::to_string(*n);
    else {
      char number[32];
      std::snprintf(number, sizeof number, "%.3f", std::get<double>(f.value));
      text += number;
    }
  }
  parts_->logger->log(to_spd(level), spdlog::string_view_t(text.data(), text.size()));
}

Level level_named(std::string_view name) {
  return name == "debug"   ? Level::Debug
         : name == "warn"  ? Level::Warn
         : name == "error" ? Level::Error
                           : Level::Info;
}

}  // namespace calicograde::log
