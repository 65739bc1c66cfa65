#include "tool/import_commands.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>

#include "files/atomic_file.hpp"
#include "haproxy/import.hpp"
#include "settings/settings.hpp"

namespace calicograde::tool {
namespace {

constexpr int not_all = 1, unreadable = 2;
constexpr std::size_t most_bytes = 64 << 20;

struct Words {
  std::vector<std::string> files, environment, roles;
  std::string out, report, front = "front-0";
  bool strict = false;
};

// NAME=VALUE; false where there is no =.
bool split(const std::string& s, std::string& name, std::string& value) {
  const auto at = s.find('=');
  if (at == std::string::npos || at == 0) return false;
  name = s.substr(0, at), value = s.substr(at + 1);
  return true;
}

int import(const Words& w) {
  std::vector<std::string> names;
  for (const auto& f : w.files) {
    if (!std::filesystem::is_directory(f)) {
      names.push_back(f);
      continue;
    }
    std::vector<std::string> inside;
    for (const auto& e : std::filesystem::directory_iterator(f))
      if (e.path().extension() == ".cfg") inside.push_back(e.path().string());
    std::sort(inside.begin(), inside.end());
    names.insert(names.end(), inside.begin(), inside.end());
  }
  std::vector<haproxy::File> files;
  for (const auto& name : names) {
    std::string wrong;
    auto text = files::read_small(name, wrong, most_bytes);
    if (!text)
      return std::fprintf(stderr, "%s: %s\n", name.c_str(), wrong.empty() ? "no such file" : wrong.c_str()),
             unreadable;
    files.push_back({name, std::move(*text)});
  }
  std::map<std::string, std::string> environment;
  haproxy::Options options;
  options.front = w.front;
  std::string name, value;
  for (const auto& e : w.environment) {
    if (!split(e, name, value)) return std::fprintf(stderr, "--env '%s': write NAME=VALUE\n", e.c_str()), 64;
    environment[name] = value;
  }
  for (const auto& r : w.roles) {
    if (!split(r, name, value) || (value != "read" && value != "write" && value != "both"))
      return std::fprintf(stderr, "--role '%s': write PATTERN=read, =write or =both\n", r.c_str()), 64;
    options.roles.emplace_back(name, value);
  }
  const auto done = haproxy::import(haproxy::read(files, environment), options);
  if (w.report == "json") {
    nlohmann::ordered_json j{{"version", 1},
                             {"totals", nlohmann::ordered_json::object()},
                             {"lines", nlohmann::ordered_json::array()}};
    for (const auto& [fate, n] : done.totals) j["totals"][haproxy::word(fate)] = n;
    for (const auto& l : done.lines)
      if (l.fate != haproxy::Fate::Blank)
        j["lines"].push_back({{"file", l.file},
                              {"line", l.line},
                              {"fate", haproxy::word(l.fate)},
                              {"text", l.text},
                              {"why", l.why}});
    std::fprintf(stderr, "%s\n",
                 j.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace).c_str());
  } else {
    for (const auto& l : done.lines)
      if (!l.why.empty())
        std::fprintf(stderr, "%s:%d: %s: %s\n", l.file.c_str(), l.line, haproxy::word(l.fate), l.why.c_str());
    std::size_t all = 0;
    for (const auto& [fate, n] : done.totals)
      std::fprintf(stderr, "%zu %s, ", n, haproxy::word(fate)), all += n;
    std::fprintf(stderr, "%zu lines\n", all);
  }
  if (done.settings.empty()) {
    std::fprintf(stderr,
                 "nothing could be served: no frontend with a bind reaches a backend with a server\n");
    return unreadable;
  }
  // What comes out must be what a front takes.
  std::vector<settings::Fault> faults;
  settings::load(w.out.empty() ? "settings" : w.out, done.settings, faults);
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (w.out.empty()) std::fwrite(done.settings.data(), 1, done.settings.size(), stdout);
  else if (const auto wrong = files::write_atomically(w.out, done.settings); !wrong.empty())
    return std::fprintf(stderr, "%s\n", wrong.c_str()), 3;
  if (!faults.empty()) return unreadable;
  const auto lost = done.totals.find(haproxy::Fate::NotCarried);
  return w.strict && lost != done.totals.end() ? not_all : 0;
}

}  // namespace

void add_import(CLI::App& app, std::function<int()>& chosen) {
  auto w = std::make_shared<Words>();
  auto* i = app.add_subcommand("import", "make settings from another program's");
  i->require_subcommand(1);
  auto* c =
      i->add_subcommand("haproxy",
                        "from HAProxy's configuration; tells what became of every line\nExit: 0 done, 1 with "
                        "--strict if a line is not carried, 2 nothing that can be served");
  c->add_option("FILE", w->files, "files, or folders of *.cfg, in order")->required();
  c->add_option("-o,--out", w->out, "where the settings go; else standard output");
  c->add_option("--report", w->report, "json: what became of each line, as JSON")
      ->check(CLI::IsMember({"json"}));
  c->add_flag("--strict", w->strict, "fail if any line is not carried");
  c->add_option("--env", w->environment, "NAME=VALUE: a variable that the files name");
  c->add_option("--role", w->roles, "PATTERN=read|write|both: what servers of that name do");
  c->add_option("--front", w->front, "the front's name");
  c->callback([&chosen, w] { chosen = [w] { return import(*w); }; });
}

}  // namespace calicograde::tool
