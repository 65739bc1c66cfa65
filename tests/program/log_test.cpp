#include "log/log.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

namespace calicograde::log {
namespace {

// More lines at once than can wait: whoever reads the log is told how many are missing, and what is there
// adds up.
TEST(Log, TellsHowManyLinesWereDropped) {
  const auto file = std::filesystem::temp_directory_path() / ("log_test_" + std::to_string(getpid()));
  constexpr int threads = 4, each = 20000;
  std::size_t dropped = 0;
  {
    Log log(file.string(), Level::Info);
    std::vector<std::thread> writers;
    for (int t = 0; t < threads; ++t)
      writers.emplace_back([&] {
        for (int k = 0; k < each; ++k) log.line(Level::Info, "storm", {{"n", std::int64_t{k}}});
      });
    for (auto& w : writers) w.join();
    dropped = log.dropped();
    ASSERT_GT(dropped, 0u);
    log.line(Level::Info, "after", {});
  }
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  EXPECT_NE(text.str().find("\"event\":\"log lines dropped\""), std::string::npos);
  EXPECT_NE(text.str().find("\"event\":\"after\""), std::string::npos);
  EXPECT_NE(text.str().find("\"mono_ms\":"), std::string::npos);
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace calicograde::log
