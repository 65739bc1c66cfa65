#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "keep/disk.hpp"
#include "keep/state.hpp"

// Snapshots and the log of marks between them, on one folder. Free of clocks and threads; not thread-safe.
//   state-N.snap  whole: written beside, synced, renamed, the folder synced
//   marks-N.log   what was marked since the copying of snapshot N began; appended and synced
// Recovery takes the latest whole snapshot and all logs from its number on; the one before it is kept too.
namespace calicograde::keep {

struct Loaded {
  State state;                     // empty where nothing could be read
  bool any = false;                // a snapshot was
  bool incomplete = false;         // something is there that could not be read now: marks may be missing
  std::vector<std::string> notes;  // what was set aside, cut off or refused, each with its reason
};

class Store {
 public:
  explicit Store(Disk& disk) : disk_(disk) {}

  // Reads what is there, sets aside what is damaged, and begins a log of its own. `wrong` of begun(): why it
  // could not; it is tried again with each mark and snapshot, and the front serves all the same meanwhile.
  Loaded load(const std::string& front);
  const std::string& begun() const { return wrong_; }

  // Marks go to a log of their own from here on: what is copied afterwards may hold them too. The number of
  // the snapshot that is to come.
  std::string rotate(std::uint64_t& number);
  // The snapshot of that number; then what is older than the one before it goes.
  std::string snapshot(std::uint64_t number, State state);

  // Marks, in order; on disk when it returns nothing.
  std::string mark(const std::vector<Mark>& marks);

 private:
  static std::string snap_name(std::uint64_t n);
  static std::string log_name(std::uint64_t n);
  std::string begin_log(std::uint64_t n);
  std::string begin_first_log();
  std::string ensure_log();  // begins it where load() could not
  std::optional<std::string> read(const std::string& name, std::string& wrong);

  Disk& disk_;
  std::string wrong_ = "it was not loaded";
  std::uint64_t log_ = 0, last_snap_ = 0, snap_before_ = 0;
  std::set<std::string> spared_;  // of a later format: a later program's, and never removed here
  bool torn_ = false;  // the log's end may be half a record: another is begun before anything is added
};

}  // namespace calicograde::keep
