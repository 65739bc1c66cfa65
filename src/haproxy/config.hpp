#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

// HAProxy's configuration format, read into sections (HAProxy Configuration Manual, 2 "Configuring HAProxy":
// quoting and escaping, environment variables, conditional blocks, time format). Free of I/O.
namespace calicograde::haproxy {

struct Line {
  std::string file;
  int number = 0;
  std::string text;                // as it stands
  std::vector<std::string> words;  // unquoted; the keyword first
};
struct Section {
  std::string kind, name, from;  // kind: global, defaults, frontend, ...; empty = before any section
  Line head;
  std::vector<Line> lines;
};
struct Config {
  std::vector<Section> sections;
  std::vector<Line> blank;  // empty, comments, and what a condition left out
  struct Wrong {
    Line line;
    std::string what, mend;
  };
  std::vector<Wrong> wrong;  // lines that can't be read
  std::size_t lines = 0;     // of all files
};

struct File {
  std::string name, text;
};
// `environment`: the only variables that there are.
Config read(const std::vector<File>& files, const std::map<std::string, std::string>& environment);

// "250", "3s", "1m": milliseconds where no unit is given (HAProxy's default).
bool parse_time_ms(std::string_view text, double& ms);

}  // namespace calicograde::haproxy
