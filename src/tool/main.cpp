// calicograde: the operators' tool.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "settings/diff.hpp"
#include "settings/settings.hpp"
#include "tool/fleet_commands.hpp"
#include "tool/import_commands.hpp"
#include "tool/pages.hpp"
#include "tool/state_commands.hpp"
#include "version.hpp"

using namespace calicograde;

namespace {

int check(const std::vector<std::string>& files) {
  int wrong = 0;
  for (const auto& file : files) {
    std::vector<settings::Fault> faults;
    const auto s = settings::load_file(file, faults);
    for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
    if (s)
      std::printf("%s: %zu pools, %zu routes: no fault\n", file.c_str(), s->pools.size(), s->routes.size());
    else std::fprintf(stderr, "%s: %zu faults\n", file.c_str(), faults.size()), wrong = 2;
  }
  return wrong;
}

int compare(const std::string& before, const std::string& after) {
  std::vector<settings::Fault> faults;
  std::optional<settings::Element> trees[2];
  for (int k = 0; k < 2; ++k) {
    const std::string& file = k == 0 ? before : after;
    const auto text = settings::read_file(file, faults);
    if (text) trees[k] = settings::read_xml(file, *text, settings::schema(), faults);
  }
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (!faults.empty() || !trees[0] || !trees[1]) return 2;
  const auto lines = settings::diff(*trees[0], *trees[1]);
  for (const auto& line : lines) std::printf("%s\n", line.c_str());
  return lines.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"calicograde: the operators' tool.\nExit: 0 done, 2 the files have faults, 64 wrong usage."};
  app.set_version_flag("--version", std::string("calicograde ") + version);
  app.require_subcommand(1);
  std::vector<std::string> files;
  auto* c = app.add_subcommand("check", "check files of settings; every fault is named by file and line");
  c->add_option("FILE", files, "settings, XML")->required();
  auto* schema = app.add_subcommand("schema", "print the schema (XSD) of the settings");
  std::function<int()> chosen;
  tool::add_fleet(app, chosen);
  tool::add_state(app, chosen);
  tool::add_import(app, chosen);
  auto* man = app.add_subcommand("man", "print the manual page");
  auto* completion = app.add_subcommand("completion", "print completion for bash");
  auto* config = app.add_subcommand("config", "compare settings");
  config->require_subcommand(1);
  std::string before, after;
  auto* diff = config->add_subcommand("diff", "what two settings say differently, in routes and pools");
  diff->add_option("BEFORE", before, "settings, XML")->required();
  diff->add_option("AFTER", after, "settings, XML")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  if (*schema) {
    const auto text = settings::schema();
    return std::fwrite(text.data(), 1, text.size(), stdout) == text.size() ? 0 : 1;
  }
  if (*man) return std::fputs(tool::man_page(app, "calicograde", version).c_str(), stdout) >= 0 ? 0 : 1;
  if (*completion) return std::fputs(tool::bash_completion(app, "calicograde").c_str(), stdout) >= 0 ? 0 : 1;
  try {
    if (*diff) return compare(before, after);
    if (chosen) return chosen();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "calicograde: %s\n", e.what());
    return 3;
  }
  return check(files);
}
