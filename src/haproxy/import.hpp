#pragma once

#include <map>
#include <string>
#include <vector>

#include "haproxy/config.hpp"

// From HAProxy's configuration to settings of a front. Every line has one fate, told by file and line:
// nothing is dropped in silence. Free of I/O. docs/operators/haproxy.md has a table of keywords.
namespace calicograde::haproxy {

enum class Fate {
  Blank,       // empty, a comment, or left out by a condition
  Carried,     // says here what it said there
  Changed,     // carried, with a change
  Replaced,    // what it decides, the design decides
  NotCarried,  // why, and what to do by hand
};
struct Told {
  std::string file;
  int line = 0;
  Fate fate = Fate::Blank;
  std::string text, why;
};
const char* word(Fate fate);

struct Options {
  std::string front = "front-0";
  // Patterns of server names with what they do (read, write, both); the first that fits. Else both.
  std::vector<std::pair<std::string, std::string>> roles;
};
struct Imported {
  std::string settings;     // XML, with where each part comes from; empty where nothing can be served
  std::vector<Told> lines;  // of every line of every file, in order
  std::map<Fate, std::size_t> totals;
};
Imported import(const Config& config, const Options& options);

}  // namespace calicograde::haproxy
