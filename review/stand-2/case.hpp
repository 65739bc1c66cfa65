#pragma once

// What every case of this review does: CASE RECORD ROOT RUN, and TROUBLE from the environment.
#include "rig.hpp"

namespace rig {

class Case {
 public:
  Case(int argc, char** argv)
      : record(argc > 1 ? argv[1] : "record.txt"),
        disc(record),
        node(argc > 3 ? argv[3] : "", argc > 2 ? argv[2] : ".", folder, record) {
    if (argc != 4) std::fprintf(stderr, "usage: %s RECORD ROOT RUN\n", argv[0]), std::exit(2);
    ::signal(SIGPIPE, SIG_IGN);
    const char* said = std::getenv("TROUBLE");
    trouble = !said || std::strcmp(said, "0") != 0;
    record.line("with%s the disruption", trouble ? "" : "out");
    // Whatever happens, it ends by itself, and its front node with it.
    std::thread([this] {
      sleep_ms(110000);
      record.line("COULD NOT RUN: the time is over");
      if (node.pid() > 0) ::kill(node.pid(), SIGKILL);
      ::_exit(2);
    }).detach();
  }
  ~Case() {
    for (auto& e : engines) e->hangs = false;
  }
  Engine& add(const std::string& name, Engine::Role role, const std::string& kind, int receive_buffer = 0,
              const std::string& zone = "a", int cell = 1) {
    engines.push_back(std::make_unique<Engine>(name, role, held_state, record, receive_buffer));
    disc.change({Instance{name, engines.back()->address(), zone, kind, cell}});
    return *engines.back();
  }
  bool start() {
    node.configure(disc.address(), disc.list(), settings);
    node.start();
    return node.ready();
  }
  std::string id() {
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", 0x9b1f03aa00000000ULL + static_cast<unsigned>(++ids_));
    return text;
  }
  template <class... Parts>
  int broke(const char* form, Parts... parts) {
    return say("THE RULE WAS BROKEN: ", 1, form, parts...);
  }
  template <class... Parts>
  int held(const char* form, Parts... parts) {
    return say("the rule held: ", 0, form, parts...);
  }
  int could_not_run(const char* why) { return say("COULD NOT RUN: ", 2, "%s", why); }

  bool trouble = true;
  Record record;
  Folder folder;
  Held held_state;
  Discovery disc;
  std::vector<std::unique_ptr<Engine>> engines;
  Node node;
  Settings settings;

 private:
  template <class... Parts>
  int say(const char* what, int status, const char* form, Parts... parts) {
    char text[1024];
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-security"
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
    std::snprintf(text, sizeof text, form, parts...);
#pragma GCC diagnostic pop
    record.line("%s%s", what, text);
    std::printf("%s%s\n", what, text);
    for (auto& e : engines) e->hangs = false;
    return status;
  }
  int ids_ = 0;
};

}  // namespace rig
