#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.hpp"
#include "settings/xml.hpp"

// Which fronts there are, and which of them a command means. Free of I/O.
namespace calicograde::fleet {

struct Front {
  std::string name, hall;
  net::Address admin;
  std::string token_file;
  std::set<std::string> tags;
};
struct Group {
  std::string name;
  std::vector<std::string> members;  // names, patterns with *, hall:NAME, tag:NAME
};
struct Fleet {
  std::vector<Front> fronts;
  std::vector<Group> groups;
};

// A line may stand for many: {01..20} in name and admin counts through both together.
std::optional<Fleet> read_fleet(const std::string& file, std::string_view text,
                                std::vector<settings::Fault>& faults);
std::string_view fleet_schema();

// Whether a name fits a pattern in which each * stands for any run of characters.
bool matches(std::string_view pattern, std::string_view name);
// The fronts that the words mean, each once, in the fleet's order: names, patterns, groups, hall:NAME,
// tag:NAME, all. A word that means nothing is named in `unknown`.
std::vector<std::size_t> select(const Fleet& fleet, const std::vector<std::string>& words,
                                std::vector<std::string>& unknown);

}  // namespace calicograde::fleet
