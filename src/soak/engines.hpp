#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "lab/platform_standin.hpp"
#include "soak/journal.hpp"

// The engines of a soak run: stand-ins on loopback, written from the platform's protocol page.
namespace calicograde::soak {

// What all engines hold for requests; a release at any of them releases all. Thread-safe.
class HeldState {
 public:
  explicit HeldState(Journal& journal) : journal_(journal) {}
  void read_begins(const std::string& id);
  void read_ends(const std::string& id);
  void hold(const std::string& id, std::size_t engine);
  // Places are granted only while a read goes on.
  bool grant_place(const std::string& id, std::size_t engine);
  // A writer fetches the state: all that is held for the request goes. False where there is none.
  bool fetch(const std::string& id);
  void release(const std::string& id);
  void forget_engine(std::size_t engine);

 private:
  void drop(std::map<std::string, std::set<std::size_t>>::iterator held);
  Journal& journal_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::size_t>> held_;
  std::set<std::string> states_;
  std::multiset<std::string> reading_;
};

class SoakEngine {
 public:
  SoakEngine(std::size_t number, Role role, HeldState& held, Journal& journal,
             std::atomic<std::uint64_t>& attempts);
  ~SoakEngine();
  std::size_t number() const { return number_; }
  Role role() const { return role_; }
  std::string name() const { return "s-" + std::to_string(number_); }
  std::string address() const;

  // Faults, each on until it is set off again.
  void hang(bool on);                           // takes requests and answers none
  void cut_answers(bool on) { cutting_ = on; }  // about a third of them
  void double_answers(bool on) { doubling_ = on; }
  // Drops its connections and all that it held.
  void restart();

 private:
  struct Attempt;
  void serve(net::Stream stream);
  void serve_state(const http::Request& request, http::ServerConnection& connection);
  bool serve_attempt(const http::Request& request, http::ServerConnection& connection);
  bool read_prompt(Attempt& attempt, http::ServerConnection& connection);
  bool write_answer(Attempt& attempt, http::ServerConnection& connection);
  // Until the time has passed and the engine does not hang; false where the other side has left meanwhile.
  bool work(http::ServerConnection& connection, Span time) const;

  const std::size_t number_;
  const Role role_;
  HeldState& held_;
  Journal& journal_;
  std::atomic<std::uint64_t>& attempts_;
  std::atomic<bool> hanging_ = false, cutting_ = false, doubling_ = false;
  std::atomic<int> life_ = 0;  // counts restarts
  std::atomic<bool> stopping_ = false;
  lab::LoopbackServer server_;
};

}  // namespace calicograde::soak
