#include "haproxy/config.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace calicograde::haproxy {
namespace {

constexpr std::array kinds = {"global",      "defaults",  "frontend",    "backend",    "listen",
                              "peers",       "resolvers", "userlist",    "program",    "mailers",
                              "http-errors", "cache",     "ring",        "fcgi-app",   "crt-store",
                              "traces",      "acme",      "log-forward", "log-profile"};
constexpr std::size_t longest_line = 65536;

struct Bad {
  std::string what, mend;
};

bool name_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
}

// Words of a line: blanks part them, but inside quotes; \ takes the next character as it is; # begins a
// comment; $NAME and ${NAME-default} stand for variables outside strong quotes.
std::vector<std::string> words_of(std::string_view s, const std::map<std::string, std::string>& env) {
  std::vector<std::string> out;
  std::string word;
  bool in_word = false;
  char quote = 0;
  for (std::size_t k = 0; k < s.size(); ++k) {
    const char c = s[k];
    if (quote == '\'') {
      if (c == '\'') quote = 0;
      else word += c;
    } else if (c == '\\') {
      if (++k >= s.size()) throw Bad{"it ends in a backslash", "remove it, or write what it escapes"};
      const char e = s[k];
      if (e == 'n') word += '\n';
      else if (e == 't') word += '\t';
      else if (e == 'r') word += '\r';
      else word += e;
      in_word = true;
    } else if (c == '"') {
      quote = quote ? 0 : '"', in_word = true;
    } else if (c == '\'' && !quote) {
      quote = '\'', in_word = true;
    } else if (c == '$' && quote == '"') {
      std::size_t at = k + 1;
      const bool braces = at < s.size() && s[at] == '{';
      at += braces;
      std::string name, absent;
      while (at < s.size() && name_char(s[at])) name += s[at++];
      bool has_absent = false;
      if (braces) {
        if (at < s.size() && s[at] == '-') {
          has_absent = true;
          for (++at; at < s.size() && s[at] != '}';) absent += s[at++];
        }
        if (at >= s.size() || s[at] != '}') throw Bad{"a variable's } is missing", "close it"};
        ++at;
      }
      if (name.empty()) throw Bad{"a $ that names no variable", "escape it as \\$"};
      const auto it = env.find(name);
      if (it == env.end() && !has_absent)
        throw Bad{"variable " + name + " is not given", "give it with --env " + name + "=VALUE"};
      word += it == env.end() ? absent : it->second;
      k = at - 1, in_word = true;
    } else if (quote) {
      word += c;
    } else if (c == '#') {
      break;
    } else if (c == ' ' || c == '\t') {
      if (in_word) out.push_back(std::move(word)), word.clear();
      in_word = false;
    } else {
      word += c, in_word = true;
    }
  }
  if (quote) throw Bad{"a quote is not closed", std::string("close it with ") + quote};
  if (in_word) out.push_back(std::move(word));
  return out;
}

// UTF-8, without surrogates and overlong forms.
bool is_utf8(std::string_view s) {
  for (std::size_t k = 0; k < s.size();) {
    const auto c = static_cast<unsigned char>(s[k]);
    const int more = c < 0x80                ? 0
                     : c >= 0xC2 && c < 0xE0 ? 1
                     : (c & 0xF0) == 0xE0    ? 2
                     : c >= 0xF0 && c < 0xF5 ? 3
                                             : -1;
    if (more < 0 || k + static_cast<std::size_t>(more) >= s.size() + (more == 0)) return false;
    for (int m = 1; m <= more; ++m)
      if ((static_cast<unsigned char>(s[k + static_cast<std::size_t>(m)]) & 0xC0) != 0x80) return false;
    k += static_cast<std::size_t>(more) + 1;
  }
  return true;
}

// What follows .if: 0, 1, true, false, defined(X), streq(A,B), with ! before.
std::optional<bool> condition(const std::vector<std::string>& words,
                              const std::map<std::string, std::string>& env) {
  std::string all;
  for (std::size_t k = 1; k < words.size(); ++k) all += words[k];
  bool no = false;
  while (all.starts_with('!')) no = !no, all.erase(0, 1);
  std::optional<bool> out;
  if (all == "1" || all == "true") out = true;
  else if (all == "0" || all == "false" || all.empty()) out = false;
  else if (all.starts_with("defined(") && all.ends_with(')'))
    out = env.contains(all.substr(8, all.size() - 9));
  else if (all.starts_with("streq(") && all.ends_with(')')) {
    const auto comma = all.find(',');
    if (comma != std::string::npos)
      out = all.substr(6, comma - 6) == all.substr(comma + 1, all.size() - comma - 2);
  }
  return out ? std::optional(*out != no) : std::nullopt;
}

}  // namespace

Config read(const std::vector<File>& files, const std::map<std::string, std::string>& env) {
  Config out;
  for (const File& file : files) {
    struct Block {
      bool outer = true, now = true, taken = true;
    };
    std::vector<Block> blocks;
    Line opened;
    const auto active = [&] { return blocks.empty() || blocks.back().now; };
    std::string_view rest = file.text;
    for (int number = 1; !rest.empty(); ++number) {
      const auto end = rest.find('\n');
      std::string_view raw = rest.substr(0, end);
      rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
      if (raw.ends_with('\r')) raw.remove_suffix(1);
      ++out.lines;
      Line line{file.name, number, std::string(raw), {}};
      try {
        if (raw.size() > longest_line) throw Bad{"it is longer than 65536 characters", "split it"};
        if (raw.find('\0') != std::string_view::npos) throw Bad{"it holds a zero byte", "remove it"};
        if (!is_utf8(raw)) throw Bad{"it is no UTF-8", "convert the file to UTF-8"};
        line.words = words_of(raw, active() ? env : env);
      } catch (const Bad& bad) {
        if (active()) out.wrong.push_back({line, bad.what, bad.mend});
        else out.blank.push_back(line);
        continue;
      }
      if (line.words.empty()) {
        out.blank.push_back(std::move(line));
        continue;
      }
      const std::string word = line.words[0];
      if (word == ".if" || word == ".elif" || word == ".else" || word == ".endif") {
        if (word != ".if" && blocks.empty()) {
          out.wrong.push_back({line, word + " without .if", "remove it, or open a block before it"});
          continue;
        }
        const auto holds =
            word == ".if" || word == ".elif" ? condition(line.words, env) : std::optional(true);
        if (!holds) {
          out.wrong.push_back(
              {line, "a condition that can't be worked out here", "write 1, 0, defined(X) or streq(A,B)"});
          if (word == ".if") blocks.push_back({active(), false, true}), opened = line;
          continue;
        }
        if (word == ".if") {
          const bool now = active() && *holds;
          blocks.push_back({active(), now, now}), opened = line;
        } else if (word == ".endif") {
          blocks.pop_back();
        } else {
          Block& b = blocks.back();
          b.now = b.outer && !b.taken && *holds, b.taken = b.taken || b.now;
        }
        out.blank.push_back(std::move(line));
        continue;
      }
      if (!active()) {
        out.blank.push_back(std::move(line));
        continue;
      }
      if (std::find(kinds.begin(), kinds.end(), word) != kinds.end()) {
        Section s;
        s.kind = word;
        for (std::size_t k = 1; k < line.words.size(); ++k) {
          if (line.words[k] == "from" && k + 1 < line.words.size()) s.from = line.words[++k];
          else if (s.name.empty()) s.name = line.words[k];
        }
        s.head = std::move(line);
        out.sections.push_back(std::move(s));
      } else if (out.sections.empty()) {
        out.wrong.push_back({line, "'" + word + "' stands before any section", "move it into one"});
      } else {
        out.sections.back().lines.push_back(std::move(line));
      }
    }
    // Told of once: as what can't be read.
    if (!blocks.empty())
      std::erase_if(out.blank,
                    [&](const Line& l) { return l.file == opened.file && l.number == opened.number; });
    if (!blocks.empty()) out.wrong.push_back({opened, ".if is never closed", "close it with .endif"});
  }
  return out;
}

bool parse_time_ms(std::string_view text, double& ms) {
  double n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc{} || n < 0) return false;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const double scale = unit.empty() || unit == "ms" ? 1
                       : unit == "us"               ? 1e-3
                       : unit == "s"                ? 1e3
                       : unit == "m"                ? 6e4
                       : unit == "h"                ? 3.6e6
                       : unit == "d"                ? 8.64e7
                                                    : 0;
  ms = n * scale;
  return scale > 0 && ms < 1e11;
}

}  // namespace calicograde::haproxy
