#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "http/http.hpp"
#include "lab/record.hpp"
#include "roster/roster.hpp"

namespace calicograde::lab {

// Pushes a versioned list to its subscribers, late: full at first, then changes. It knows only which
// processes run.
class RosterStandin {
 public:
  RosterStandin(Span late, Recorder& records);
  ~RosterStandin();
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  void change(const roster::Line& line);  // a new version with this line
  void lose_one();                        // the next change is never pushed: subscribers see a gap

 private:
  struct Version {
    Instant at;
    std::uint64_t number = 0;
    roster::Line line;
    bool lost = false;
  };
  void accept();
  void serve(net::Stream stream);
  bool push(http::ServerConnection& c, const std::string& front, const roster::Document& d);

  const Span late_;
  Recorder& records_;
  net::Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Version> versions_;
  bool lose_next_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> threads_ = 0;
  std::thread acceptor_;
};

}  // namespace calicograde::lab
