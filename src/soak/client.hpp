#pragma once

#include <atomic>
#include <optional>
#include <random>
#include <thread>

#include "http/http.hpp"
#include "soak/journal.hpp"
#include "soak/node_process.hpp"
#include "soak/run_settings.hpp"
#include "soak/schedule.hpp"

namespace calicograde::soak {

// A client of one node on a thread of its own: one request after the other, on a connection that it keeps.
class SoakClient {
 public:
  SoakClient(std::size_t number, std::size_t node, NodeProcess& process, const Schedule& schedule,
             const RunSettings& settings, Instant began, Journal& journal);
  ~SoakClient();
  void stop() { stopping_ = true; }

 private:
  struct Link;
  void run();
  bool connect();
  void ask();
  void stop_in_mid_request();
  RequestEnded read_answer(const RequestSent& sent, bool fresh);
  static void note_events(RequestEnded& ended);
  void leave(const RequestSent& sent);
  bool in(Trouble trouble) const;
  bool chance(double share);
  std::string next_id();

  const std::size_t node_;
  NodeProcess& process_;
  const Schedule& schedule_;
  const RunSettings& settings_;
  const Instant began_;
  Journal& journal_;
  std::mt19937_64 random_;
  std::atomic<bool> stopping_ = false;
  std::unique_ptr<Link> link_;
  int at_once_ = 0;  // requests that follow without a pause
  std::thread thread_;
};

}  // namespace calicograde::soak
