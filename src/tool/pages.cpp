#include "tool/pages.hpp"

namespace calicograde::tool {
namespace {

std::string roff(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '-') out += '\\';
    if (c == '\n') out += "\n.br\n";
    else out += c;
  }
  // A line that begins with a point or a quote is a request to the formatter.
  if (!out.empty() && (out[0] == '.' || out[0] == '\'')) out.insert(0, "\\&");
  return out;
}

void page(const CLI::App& app, const std::string& path, std::string& out) {
  out += ".SS " + roff(path) + "\n" + roff(app.get_description()) + "\n";
  for (const CLI::Option* o : app.get_options()) {
    if (o->get_name() == "--help") continue;
    out += ".TP\n.B " + roff(o->get_name()) + "\n" + roff(o->get_description()) + "\n";
  }
  for (const CLI::App* s : app.get_subcommands({})) page(*s, path + " " + s->get_name(), out);
}

void words(const CLI::App& app, const std::string& path, std::string& out) {
  std::string all;
  for (const CLI::App* s : app.get_subcommands({})) all += s->get_name() + " ";
  for (const CLI::App* at = &app; at; at = at->get_parent())
    for (const CLI::Option* o : at->get_options())
      for (const auto& name : o->get_lnames()) all += "--" + name + " ";
  out += "    '" + path + "') words='" + all + "' ;;\n";
  for (const CLI::App* s : app.get_subcommands({}))
    words(*s, path + (path.empty() ? "" : " ") + s->get_name(), out);
}

void commands(const CLI::App& app, std::string& out) {
  for (const CLI::App* s : app.get_subcommands({})) out += s->get_name() + "|", commands(*s, out);
}

}  // namespace

std::string man_page(const CLI::App& app, const std::string& name, const std::string& version) {
  std::string out = ".TH " + name + " 1 \"\" \"" + name + " " + version + "\"\n.SH NAME\n" + roff(name) +
                    " \\- " + roff(app.get_description().substr(0, app.get_description().find('\n'))) +
                    "\n.SH SYNOPSIS\n.B " + roff(name) + "\n[options] command ...\n.SH COMMANDS\n";
  page(app, name, out);
  return out;
}

std::string bash_completion(const CLI::App& app, const std::string& name) {
  std::string known;
  commands(app, known);
  if (!known.empty()) known.pop_back();
  std::string out =
      "_" + name +
      "() {\n  local path='' words='' word\n  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
      "    case \"$word\" in " +
      known + ") path=\"${path:+$path }$word\" ;; esac\n  done\n  case \"$path\" in\n";
  words(app, "", out);
  return out +
         "  esac\n  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\")\n}\n"
         "complete -o default -F _" +
         name + " " + name + "\n";
}

}  // namespace calicograde::tool
