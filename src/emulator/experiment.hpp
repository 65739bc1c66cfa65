#pragma once

#include <string>
#include <vector>

#include "emulator/world.hpp"
#include "settings/xml.hpp"

// Experiments: arms x loads x seeds in simulated time, each run's rows kept in HDF5, tables and charts made
// from what is kept alone.
namespace calicograde::emulator {

struct NamedLoad {
  std::string name;
  LoadShape load;
};
struct Arm {
  std::string name;
  WorldShape world;  // but for the load and the seed
};
struct Experiment {
  std::string name;
  int seeds = 5;
  std::vector<NamedLoad> loads;
  std::vector<Arm> arms;
};

std::optional<Experiment> read_experiment(const std::string& file, std::string_view text,
                                          std::vector<settings::Fault>& faults);
std::string_view experiment_schema();

// Plays what is not kept yet under `folder`, `threads` runs at a time, telling of each on standard error.
// Throws std::runtime_error if a file can't be written.
void play(const Experiment& e, const std::string& folder, int threads);
// Reads the runs kept and writes NAME.md, NAME-*.svg beside them. False if a run is missing.
bool report(const Experiment& e, const std::string& folder);

}  // namespace calicograde::emulator
