#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "soak/journal.hpp"
#include "soak/run_settings.hpp"

namespace calicograde::soak {

// What all engines of a run hold for requests. A release at any of them releases all that no attempt waits
// for; the first token of an attempt ends the rest. It lives in the process of the run, so that engines that
// are stopped or killed keep nothing from being counted. Thread-safe.
class HeldState {
 public:
  HeldState(Journal& journal, PlaceAnswers place_answers)
      : journal_(journal), place_answers_(place_answers) {}
  void read_begins(const std::string& id);
  void read_ends(const std::string& id);
  void hold(const std::string& id, std::size_t engine);
  // A place is asked for; true where it is granted in so many words (200).
  bool ask_place(const std::string& id, std::size_t engine);
  // A decode engine has taken an attempt, which waits for the states of its request and for the place at its
  // engine from now on. False where there is no state: then it waits for nothing.
  bool attempt_begins(const std::string& id, std::size_t engine, std::uint64_t attempt);
  // All that is held for the request goes, and the attempt waits for nothing any more.
  void first_token(const std::string& id, std::uint64_t attempt);
  // It waits for nothing any more; what it waited for stays held.
  void attempt_ends(const std::string& id, std::uint64_t attempt);
  void release(const std::string& id);
  void forget_engine(std::size_t engine);
  std::size_t releases() const { return releases_; }  // that engines have taken

 private:
  struct Held {
    std::set<std::size_t> states, places;           // at these engines
    std::map<std::uint64_t, std::size_t> attempts;  // that wait, and at which engine
    bool holds_at(std::size_t engine) const { return states.contains(engine) || places.contains(engine); }
    bool empty() const { return states.empty() && places.empty() && attempts.empty(); }
  };
  void hold_at(const std::string& id, std::set<std::size_t>& which, std::size_t engine);
  void drop_at(const std::string& id, std::set<std::size_t>& which, std::size_t engine);
  void tidy(const std::string& id);

  Journal& journal_;
  const PlaceAnswers place_answers_;
  std::mutex mutex_;
  std::map<std::string, Held> held_;
  std::multiset<std::string> reading_;
  std::atomic<std::size_t> releases_ = 0;
};

}  // namespace calicograde::soak
