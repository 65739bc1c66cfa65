#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "fleet/campaign.hpp"
#include "net/socket.hpp"

namespace calicograde::fleet {

// What a command has asked of whom, a line each, on disk before it is acted on: a tool that is killed goes on
// where it was. Thread-safe.
class Journal {
 public:
  // A line of its beginning, or of one begun before: then what is in it. Throws std::runtime_error where it
  // cannot be written, is of another command, or is no journal.
  Journal(const std::string& path, const std::string& command, const std::vector<std::string>& targets);
  // Asked and no end: unknown.
  const std::map<std::string, Result>& before() const { return before_; }
  bool resumed() const { return resumed_; }
  void asked(const std::string& name);
  void ended(const std::string& name, Result result, const std::string& what);

 private:
  void line(const std::string& text);
  std::mutex mutex_;
  std::string path_;
  net::Fd fd_;
  std::map<std::string, Result> before_;
  bool resumed_ = false;
};

}  // namespace calicograde::fleet
