#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Conditions under which a route is taken, beside the model's name. Free of I/O.
namespace calicograde::matching {

struct When {
  enum class What { Path, PathBegins, PathEnds, Header, Method, Source, Port } what = What::Path;
  std::string name;                 // of the header
  std::vector<std::string> values;  // any of them; of a header: none = it is there
  bool no = false, ignore_case = false;
};
// Of a request: its path without the query, the client's address, the port that it came in at.
struct Seen {
  std::string_view method, path, source;
  const std::vector<std::pair<std::string, std::string>>* headers = nullptr;
  unsigned short port = 0;
};

bool holds(const When& when, const Seen& seen);
bool all_hold(const std::vector<When>& all, const Seen& seen);
// An address, or a network such as 10.0.0.0/8 (IPv4) or ::1 (IPv6, whole).
bool is_network(std::string_view text);

}  // namespace calicograde::matching
