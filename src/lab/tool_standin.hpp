#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/http.hpp"
#include "lab/record.hpp"
#include "net/socket.hpp"

namespace calicograde::lab {

// How a tool server answers a call just now.
struct ToolFaults {
  enum class Die { No, BeforeHead, MidStream } die = Die::No;
  bool silent = false, garbage = false, late_progress = false, turns_away = false;
  std::string asks_back;  // a method, asked of the client before the answer
  int progress = 0;       // notifications before the answer
  Span takes;
};

// A tool server on a loopback port that speaks the Model Context Protocol; counts what it ran.
class ToolStandin {
 public:
  // `tools`: definitions, as JSON. `stream`: answers calls by an event stream.
  // `records`: where the runs go that name a mark and a call in their arguments.
  ToolStandin(std::string name, std::vector<std::string> tools, bool stream = true,
              Recorder* records = nullptr);
  ~ToolStandin();
  net::Address address() const { return {"127.0.0.1", port_}; }
  void set(const std::function<void(ToolFaults&)>& change);
  int runs() const { return runs_; }
  int cancels() const { return cancels_; }
  std::vector<std::string> told_back() const;  // responses to what it asked
  void stop();

 private:
  void serve(net::Stream stream);
  bool answer(const http::Request& request, http::ServerConnection& c);
  bool call(const std::string& id, const std::string& params, http::ServerConnection& c);
  const std::string name_;
  const std::vector<std::string> tools_;
  const bool stream_;
  Recorder* const records_;
  net::Listener listener_;
  unsigned short port_;
  mutable std::mutex mutex_;
  ToolFaults faults_;
  std::vector<std::string> told_back_;
  std::atomic<int> runs_ = 0, cancels_ = 0, threads_ = 0, sessions_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
};

}  // namespace calicograde::lab
