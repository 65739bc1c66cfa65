#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "soak/journal.hpp"
#include "soak/run_settings.hpp"

namespace calicograde::soak {

// What all engines of a run hold for requests; a release at any of them releases all. It lives in the process
// of the run, so that engines that are stopped or killed keep nothing from being counted. Thread-safe.
class HeldState {
 public:
  HeldState(Journal& journal, PlaceAnswers place_answers)
      : journal_(journal), place_answers_(place_answers) {}
  void read_begins(const std::string& id);
  void read_ends(const std::string& id);
  void hold(const std::string& id, std::size_t engine);
  // A place is asked for; true where it is granted in so many words (200).
  bool ask_place(const std::string& id, std::size_t engine);
  // A decode engine fetches the state: all that is held for the request goes. False where there is none.
  bool fetch(const std::string& id);
  void release(const std::string& id);
  void forget_engine(std::size_t engine);

 private:
  void drop(std::map<std::string, std::set<std::size_t>>::iterator held);
  Journal& journal_;
  const PlaceAnswers place_answers_;
  std::mutex mutex_;
  std::map<std::string, std::set<std::size_t>> held_;
  std::set<std::string> states_;
  std::multiset<std::string> reading_;
};

}  // namespace calicograde::soak
