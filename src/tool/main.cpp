// calicograde: the operators' tool.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "settings/settings.hpp"
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

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"calicograde: the operators' tool.\nExit: 0 done, 2 the files have faults, 64 wrong usage."};
  app.set_version_flag("--version", std::string("calicograde ") + version);
  app.require_subcommand(1);
  std::vector<std::string> files;
  auto* c = app.add_subcommand("check", "check files of settings; every fault is named by file and line");
  c->add_option("FILE", files, "settings, XML")->required();
  auto* schema = app.add_subcommand("schema", "print the schema (XSD) of the settings");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  if (*schema) {
    const auto text = settings::schema();
    return std::fwrite(text.data(), 1, text.size(), stdout) == text.size() ? 0 : 1;
  }
  return check(files);
}
