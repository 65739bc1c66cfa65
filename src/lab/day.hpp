#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/audit.hpp"
#include "lab/plan.hpp"
#include "lab/roster_standin.hpp"
#include "lab/tool_standin.hpp"

namespace calicograde::lab {

// Engines, a roster and fronts (calicograded processes) as a plan says. Everything ends with it.
class Town {
 public:
  // `daemon`: the path of calicograded; `folder`: for settings and logs. Throws std::runtime_error.
  Town(const Plan& plan, std::string daemon, std::string folder);
  ~Town();
  Recorder& records() { return records_; }
  std::vector<net::Address> fronts() const;
  std::vector<int> pids() const;
  std::string ready_line() const;
  void trouble(const Trouble& t, std::mt19937& chance);  // begins; ends what is due by tick()
  void tick();
  // SIGTERM to all; the worst exit code.
  int stop_fronts();

 private:
  struct Front {
    int pid = -1;
    net::Address at;
    std::string name;
  };
  struct Later {
    Instant at;
    std::function<void()> what;
  };
  Front start_front(int number);
  void list(EngineStandin& e, Lifecycle state, bool cold);
  std::vector<EngineStandin*> choose(const Trouble& t, std::mt19937& chance);
  void tool_trouble(const Trouble& t, std::mt19937& chance);
  void later(Span in, std::function<void()> what);

  const Plan plan_;
  const std::string daemon_, folder_;
  Recorder records_;
  std::map<std::string, std::shared_ptr<DedupeMemory>> dedupe_;
  std::vector<std::unique_ptr<EngineStandin>> engines_;
  std::vector<std::unique_ptr<ToolStandin>> tool_servers_;
  std::unique_ptr<RosterStandin> roster_;
  std::vector<Front> fronts_;
  std::vector<Later> later_;
};

struct DayResult {
  Verdict verdict;
  int front_exit = 0;
  std::size_t unreachable = 0;
};
DayResult run_day(const Plan& plan, const std::string& daemon, const std::string& folder,
                  const std::string& record_file);
std::string daemon_beside_me();  // calicograded in the folder of the running program

}  // namespace calicograde::lab
