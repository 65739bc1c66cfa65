#include "haproxy/import.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <set>

#include "matching/when.hpp"

namespace calicograde::haproxy {
namespace {

using matching::When;
using Alternatives = std::vector<std::vector<When>>;  // any of them; all of one's conditions

constexpr std::size_t most_alternatives = 64;

struct No {
  std::string why;
};

std::string xml(std::string_view s) {
  std::string out;
  for (const char c : s) {
    if (c == '&') out += "&amp;";
    else if (c == '<') out += "&lt;";
    else if (c == '>') out += "&gt;";
    else if (c == '"') out += "&quot;";
    else if (static_cast<unsigned char>(c) < 0x20) out += ' ';
    else out += c;
  }
  return out;
}
std::string comment(const Line& l) {
  std::string at = l.file + ":" + std::to_string(l.number);
  for (std::size_t k = 0; (k = at.find("--", k)) != std::string::npos;) at.replace(k, 2, "- -");
  return "<!-- " + at + " -->";
}
// Names of the settings: letters, digits, . _ -; others become _.
std::string name_of(std::string_view s) {
  std::string out;
  for (const char c : s)
    out += (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
                   c == '-' || c == '_'
               ? c
               : '_';
  if (out.empty() || out[0] == '.' || out[0] == '-' || out[0] == '_') out.insert(0, "x");
  return out;
}
std::optional<long> whole(const std::string& s) {
  long n = 0;
  const auto r = std::from_chars(s.data(), s.data() + s.size(), n);
  return r.ec == std::errc{} && r.ptr == s.data() + s.size() && n >= 0 ? std::optional(n) : std::nullopt;
}
std::string ms(double t) {
  return std::to_string(static_cast<long long>(std::llround(std::max(1.0, t)))) + "ms";
}

bool fits(std::string_view pattern, std::string_view name) {
  const auto star = pattern.find('*');
  if (star == std::string_view::npos) return pattern == name;
  const auto tail = pattern.substr(star + 1);
  return name.size() + 1 >= pattern.size() && name.starts_with(pattern.substr(0, star)) &&
         name.ends_with(tail);
}

struct Server {
  Line line;
  std::string name, address, role;
  long weight = -1, maxconn = 0;
  bool backup = false, disabled = false;
};
struct Rule {
  Line line;
  std::string backend;
  Alternatives when;
};
// What a proxy has, its defaults first.
struct Proxy {
  std::string name;
  Line head;
  std::vector<Server> servers;
  std::vector<std::string> server_defaults;
  std::optional<double> connect, server_time, request_time, idle;
  std::optional<long> retries;
  double slowstart = 0;
  bool retriable = false, tcp = false;
  std::optional<std::string> default_backend;
  Line default_line;
  std::vector<Rule> rules;
  std::vector<std::string> binds;
  std::vector<Line> bind_lines;
  std::map<std::string, Alternatives> acls;  // by name: any of its lines
  std::set<std::string> broken_acls;         // that have a line which can't be carried
};

class Importer {
 public:
  Importer(const Config& c, const Options& o) : config_(c), options_(o) {}

  Imported run() {
    for (const auto& l : config_.blank) tell(l, Fate::Blank, "");
    for (const auto& w : config_.wrong) tell(w.line, Fate::NotCarried, w.what + "; " + w.mend);
    for (const Section& s : config_.sections) section(s);
    Imported out;
    out.settings = write();
    std::sort(told_.begin(), told_.end(), [this](const Told& a, const Told& b) {
      return std::pair{order_.at(a.file), a.line} < std::pair{order_.at(b.file), b.line};
    });
    for (const auto& t : told_) ++out.totals[t.fate];
    out.lines = std::move(told_);
    return out;
  }

 private:
  void tell(const Line& l, Fate fate, std::string why) {
    order_.emplace(l.file, order_.size());
    told_.push_back({l.file, l.number, fate, l.text, std::move(why)});
  }

  void section(const Section& s) {
    if (s.kind == "global") {
      tell(s.head, Fate::Carried, "");
      for (const Line& l : s.lines) global(l);
    } else if (s.kind == "defaults") {
      Proxy d;
      if (!s.from.empty() && defaults_.contains(s.from)) d = defaults_[s.from];
      d.name = s.name;
      if (!s.from.empty() && !defaults_.contains(s.from))
        tell(s.head, Fate::NotCarried, "defaults '" + s.from + "' are not defined above; move them there");
      else tell(s.head, Fate::Carried, "");
      for (const Line& l : s.lines) proxy(d, l, false, false);
      defaults_[s.name] = d, last_defaults_ = s.name;
    } else if (s.kind == "frontend" || s.kind == "backend" || s.kind == "listen") {
      const bool front = s.kind != "backend", back = s.kind != "frontend";
      auto& all = front ? fronts_ : backs_;
      auto it = std::find_if(all.begin(), all.end(), [&](const Proxy& p) { return p.name == s.name; });
      const bool again = it != all.end();
      if (!again) {
        Proxy p;
        const std::string from = s.from.empty() ? last_defaults_.value_or("") : s.from;
        if (const auto d = defaults_.find(from); d != defaults_.end()) p = d->second;
        p.name = s.name, p.head = s.head, p.default_line = p.default_backend ? p.default_line : s.head;
        all.push_back(std::move(p)), it = std::prev(all.end());
      }
      if (s.name.empty()) tell(s.head, Fate::NotCarried, "it has no name; give it one");
      else if (!s.from.empty() && !defaults_.contains(s.from))
        tell(s.head, Fate::NotCarried, "defaults '" + s.from + "' are not defined above; move them there");
      else if (again)
        tell(s.head, Fate::Changed,
             s.kind + " '" + s.name + "' stands already at " + it->head.file + ":" +
                 std::to_string(it->head.number) + "; both are put together");
      else tell(s.head, Fate::Carried, "");
      // Two passes would let an ACL be used before it is defined; HAProxy has one.
      for (const Line& l : s.lines) proxy(*it, l, front, back);
      if (s.kind == "listen" && !it->servers.empty()) {
        auto b = std::find_if(backs_.begin(), backs_.end(), [&](const Proxy& p) { return p.name == s.name; });
        if (b == backs_.end()) backs_.push_back(*it);
        else
          for (const auto& one : it->servers) {
            const bool there = std::any_of(b->servers.begin(), b->servers.end(),
                                           [&](const Server& o) { return o.address == one.address; });
            if (there) this->again(one.line, "its address stands already in backend '" + s.name + "'");
            else b->servers.push_back(one);
          }
        it->servers.clear();
        if (!it->default_backend) it->default_backend = s.name, it->default_line = s.head;
      }
    } else {
      const std::string why =
          s.kind == "peers"         ? "fronts share nothing; each keeps its own (docs/operators/state.md)"
          : s.kind == "resolvers"   ? "names are looked up by the system's resolver"
          : s.kind == "userlist"    ? "credentials are not checked here; check them before the front"
          : s.kind == "program"     ? "the front starts no programs; start it beside it"
          : s.kind == "http-errors" ? "errors are the messages API's own"
                                    : "there is nothing like section '" + s.kind + "' here";
      tell(s.head, Fate::NotCarried, why);
      for (const Line& l : s.lines) tell(l, Fate::NotCarried, why);
    }
  }

  void global(const Line& l) {
    const auto& w = l.words;
    if (w[0] == "maxconn" && w.size() > 1) {
      const auto n = whole(w[1]);
      if (!n || *n < 1 || *n > 1000000)
        return tell(l, Fate::NotCarried, "no number from 1 to 1000000; write one");
      connections_ = *n, connections_line_ = l;
      return tell(l, Fate::Carried, "");
    }
    if (w[0] == "stats")
      return tell(l, Fate::NotCarried,
                  "for operators there is <admin listen=\"unix:/PATH\"/> (docs/operators/admin.md)");
    if (w[0] == "log")
      return tell(l, Fate::NotCarried,
                  "logs are JSON lines on standard error or in <log file>; ship them from there");
    if (w[0] == "nbthread" || w[0] == "nbproc" || w[0] == "cpu-map")
      return tell(l, Fate::Replaced, "a thread a connection; nothing to set");
    if (w[0] == "daemon" || w[0] == "user" || w[0] == "group" || w[0] == "chroot" || w[0] == "pidfile")
      return tell(l, Fate::NotCarried, "leave that to what starts the front");
    tell(l, Fate::NotCarried, "'" + w[0] + "' has no counterpart; look whether it is still wanted");
  }

  void proxy(Proxy& p, const Line& l, bool front, bool back) {
    const auto& w = l.words;
    const std::string& k = w[0];
    try {
      if (k == "mode") {
        if (w.size() > 1 && w[1] == "http") return tell(l, Fate::Carried, "");
        p.tcp = true;
        throw No{"only HTTP is served; leave what is no HTTP to another proxy"};
      }
      if (k == "bind") return bind(p, l, front);
      if (k == "acl") return acl(p, l);
      if (k == "use_backend") return use_backend(p, l, front);
      if (k == "default_backend") {
        if (w.size() < 2) throw No{"it names no backend; name one"};
        p.default_backend = w[1], p.default_line = l;
        return tell(l, Fate::Carried, "");
      }
      if (k == "server" || k == "server-template") return server(p, l, back);
      if (k == "default-server") {
        p.server_defaults.insert(p.server_defaults.end(), w.begin() + 1, w.end());
        return tell(l, Fate::Carried, "");
      }
      if (k == "timeout") return time_out(p, l);
      if (k == "retries") {
        const auto n = w.size() > 1 ? whole(w[1]) : std::nullopt;
        if (!n || *n > 99) throw No{"no number from 0 to 99; write one"};
        p.retries = *n;
        return tell(l, Fate::Changed, "sends for one inference are 1 more, a read and a write counted apart");
      }
      if (k == "retry-on") {
        for (std::size_t n = 1; n < w.size(); ++n)
          if (w[n] == "all-retryable-errors" || w[n] == "response-timeout" || w[n].starts_with('5'))
            p.retriable = true;
        return tell(l, Fate::Changed,
                    p.retriable ? "the routes become retriable: an inference may run again"
                                : "what is known not to have run is sent again anyway");
      }
      if (k == "balance" || k == "hash-type" || k == "hash-balance-factor")
        return tell(l, Fate::Replaced,
                    "reader and writer are scored together by tokens still to read and booked load");
      if (k == "cookie" || k == "stick" || k == "dynamic-cookie-key")
        return tell(l, Fate::Replaced,
                    "sessions find the engine that keeps their text by the index of prompts");
      if (k == "option" && w.size() > 1) {
        if (w[1] == "redispatch")
          return tell(l, Fate::Replaced, "what fails at one engine goes to the next-lowest");
        if (w[1] == "httpchk" || w[1].ends_with("-check") || w[1] == "log-health-checks")
          return tell(l, Fate::Replaced, "engines are judged by how they answer what they are sent");
        if (w[1] == "http-server-close" || w[1] == "http-keep-alive" || w[1] == "httpclose")
          return tell(l, Fate::Replaced, "connections to engines are kept and reused by the front");
        if (w[1] == "httplog" || w[1] == "dontlognull" || w[1] == "tcplog")
          return tell(l, Fate::Replaced, "each inference has one JSON line");
        if (w[1] == "forwardfor") throw No{"engines are not told the client's address"};
        throw No{"option " + w[1] + " has no counterpart"};
      }
      if (k == "http-check" || k == "tcp-check")
        return tell(l, Fate::Replaced, "engines are judged by how they answer what they are sent");
      if (k == "maxconn" && front) {
        const auto n = w.size() > 1 ? whole(w[1]) : std::nullopt;
        if (!n || *n < 1 || *n > 1000000) throw No{"no number from 1 to 1000000; write one"};
        if (!connections_ || *n < *connections_) connections_ = *n, connections_line_ = l;
        return tell(l, Fate::Changed, "a limit of the whole front, the least of all frontends'");
      }
      if (k == "fullconn") return tell(l, Fate::Replaced, "an engine's load is its booked tokens");
      if (k == "http-request" || k == "http-response" || k == "tcp-request" || k == "stick-table")
        throw No{
            "rules on requests and tables are not carried; limits are most-in-work of a route and <caps> "
            "(docs/operators/limits.md)"};
      if (k == "errorfile" || k == "errorfiles" || k == "errorloc")
        throw No{"errors are the messages API's own"};
      if (k == "log" || k == "log-format" || k == "capture" || k == "unique-id-format")
        throw No{"logs are JSON lines on standard error or in <log file>"};
      if (k == "stats") throw No{"for operators there is <admin> (docs/operators/admin.md)"};
      if (k == "description" || k == "id") throw No{"nothing here shows it; keep it as a comment"};
      if (k == "disabled") throw No{"leave the section out to disable it"};
      throw No{"'" + k + "' has no counterpart; look whether it is still wanted"};
    } catch (const No& no) {
      tell(l, Fate::NotCarried, no.why);
    }
  }

  void bind(Proxy& p, const Line& l, bool front) {
    if (!front) throw No{"only frontends listen"};
    if (l.words.size() < 2) throw No{"it names no address; write IP:PORT"};
    std::string left, list = l.words[1] + ",";
    for (std::size_t k = 2; k < l.words.size(); ++k) left += (left.empty() ? "" : " ") + l.words[k];
    if (left.find("ssl") != std::string::npos || left.find("crt") != std::string::npos)
      throw No{"the front has no TLS yet: end it before the front, and bind without it"};
    std::string one;
    std::vector<std::string> addresses;
    for (const char c : list) {
      if (c != ',') {
        one += c;
        continue;
      }
      const auto colon = one.rfind(':');
      const auto port = colon == std::string::npos ? std::nullopt : whole(one.substr(colon + 1));
      if (!port || *port > 65535)
        throw No{"'" + one + "' is no IP:PORT; port ranges and paths are not carried"};
      std::string host = one.substr(0, colon);
      if (host.starts_with("ipv4@")) host = host.substr(5);
      if (host.empty() || host == "*") host = "0.0.0.0";
      if (host == "::" || host == "[::]") host = "[::]";
      addresses.push_back(host + ":" + std::to_string(*port));
      one.clear();
    }
    for (auto& a : addresses) p.binds.push_back(std::move(a)), p.bind_lines.push_back(l);
    tell(l, left.empty() ? Fate::Carried : Fate::Changed, left.empty() ? "" : "without " + left);
  }

  static When::What fetch(const std::string& word, std::string& name, std::string& match) {
    using W = When::What;
    const auto open = word.find('(');
    const std::string fetch = word.substr(0, open);
    if (open != std::string::npos && word.ends_with(')'))
      name = word.substr(open + 1, word.size() - open - 2);
    if (fetch == "path") return W::Path;
    if (fetch == "path_beg") return W::PathBegins;
    if (fetch == "path_end") return W::PathEnds;
    if (fetch == "method") return W::Method;
    if (fetch == "src") return W::Source;
    if (fetch == "dst_port") return W::Port;
    if ((fetch == "hdr" || fetch == "req.hdr" || fetch == "req.fhdr") && !name.empty() &&
        name.find(',') == std::string::npos)
      return W::Header;
    match.clear();
    throw No{"'" + word +
             "' is not looked at here; path, path_beg, path_end, hdr(name), method, src and dst_port are"};
  }

  // What follows "acl NAME", or stands between braces.
  When criterion(const std::vector<std::string>& w, std::size_t at, std::size_t end) {
    if (at >= end) throw No{"it says nothing to look at"};
    When out;
    std::string match;
    out.what = fetch(w[at++], out.name, match);
    for (; at < end && w[at].starts_with('-') && w[at].size() > 1; ++at) {
      if (w[at] == "--") {
        ++at;
        break;
      }
      if (w[at] == "-i") out.ignore_case = true;
      else if (w[at] == "-m" && at + 1 < end) {
        const std::string how = w[++at];
        if (how == "found" && out.what == When::What::Header && at + 1 >= end) return out;
        if (how == "beg" && out.what == When::What::Path) out.what = When::What::PathBegins;
        else if (how == "end" && out.what == When::What::Path) out.what = When::What::PathEnds;
        else if (how != "str" && !(how == "ip" && out.what == When::What::Source))
          throw No{"-m " + how + " is not carried; whole words and beginnings or ends of paths are"};
      } else {
        throw No{"flag " + w[at] + " is not carried"};
      }
    }
    for (; at < end; ++at) {
      if (w[at].find('|') != std::string::npos) throw No{"a value with | in it is not carried"};
      if (out.what == When::What::Source && !matching::is_network(w[at]))
        throw No{"'" + w[at] + "' is no address or IPv4 network"};
      out.values.push_back(w[at]);
    }
    if (out.values.empty()) throw No{"it gives no value to look for"};
    return out;
  }

  void acl(Proxy& p, const Line& l) {
    if (l.words.size() < 3) throw No{"an acl is a name, what to look at, and values"};
    const std::string& name = l.words[1];
    try {
      p.acls[name].push_back({criterion(l.words, 2, l.words.size())});
      tell(l, Fate::Carried, "");
    } catch (const No&) {
      p.broken_acls.insert(name);
      throw;
    }
  }

  static Alternatives product(const Alternatives& a, const Alternatives& b) {
    Alternatives out;
    for (const auto& x : a)
      for (const auto& y : b) {
        out.push_back(x);
        out.back().insert(out.back().end(), y.begin(), y.end());
        if (out.size() > most_alternatives) throw No{"its condition falls into more than 64 cases; split it"};
      }
    return out;
  }
  static Alternatives negated(const Alternatives& any) {
    Alternatives out{{}};
    for (const auto& all : any) {
      Alternatives none;
      for (When w : all) w.no = !w.no, none.push_back({w});
      out = product(out, none);
    }
    return out;
  }

  // "if a !b or { path /x }" from `at` on.
  Alternatives when(const Proxy& p, const Line& l, std::size_t at) {
    const auto& w = l.words;
    if (at >= w.size()) return {{}};
    const bool unless = w[at] == "unless";
    if (!unless && w[at] != "if") throw No{"'" + w[at] + "' is neither if nor unless"};
    Alternatives any, all{{}};
    for (++at; at < w.size(); ++at) {
      if (w[at] == "or" || w[at] == "||") {
        any.insert(any.end(), all.begin(), all.end()), all = {{}};
        continue;
      }
      std::string name = w[at];
      bool no = false;
      while (name.starts_with('!')) no = !no, name.erase(0, 1);
      if (name.empty() && at + 1 < w.size()) name = w[++at];
      Alternatives term;
      if (name == "{") {
        const auto close = std::find(w.begin() + static_cast<std::ptrdiff_t>(at), w.end(), "}");
        if (close == w.end()) throw No{"a { is not closed"};
        const auto end = static_cast<std::size_t>(close - w.begin());
        term = {{criterion(w, at + 1, end)}}, at = end;
      } else if (name == "TRUE") {
        term = {{}};
      } else if (p.broken_acls.contains(name)) {
        throw No{"it rests on acl '" + name + "', which is not carried"};
      } else if (const auto it = p.acls.find(name); it != p.acls.end()) {
        term = it->second;
      } else {
        throw No{"acl '" + name + "' is not defined above it"};
      }
      all = product(all, no ? negated(term) : term);
    }
    any.insert(any.end(), all.begin(), all.end());
    return unless ? negated(any) : any;
  }

  void use_backend(Proxy& p, const Line& l, bool front) {
    const auto& w = l.words;
    if (!front) throw No{"only frontends choose backends"};
    if (w.size() < 2) throw No{"it names no backend"};
    if (w[1].find("%[") != std::string::npos || w[1].find('%') != std::string::npos)
      throw No{"a computed name is not carried: write one use_backend for each backend"};
    p.rules.push_back({l, w[1], when(p, l, 2)});
    tell(l, Fate::Carried, "");
  }

  void time_out(Proxy& p, const Line& l) {
    const auto& w = l.words;
    double t = 0;
    if (w.size() < 3 || !parse_time_ms(w[2], t) || t <= 0) throw No{"no time above 0; write one, such as 5s"};
    if (w[1] == "connect") p.connect = t;
    else if (w[1] == "server") p.server_time = t;
    else if (w[1] == "http-request") p.request_time = t;
    else if (w[1] == "http-keep-alive") p.idle = t;
    else if (w[1] == "queue")
      return tell(l, Fate::Replaced, "what waits is told at once when it can't be in time");
    else if (w[1] == "check")
      return tell(l, Fate::Replaced, "engines are judged by how they answer what they are sent");
    else if (w[1] == "client" || w[1] == "client-fin" || w[1] == "server-fin" || w[1] == "tunnel")
      throw No{"set <times write> and <times stream-silence> by hand"};
    else throw No{"timeout " + w[1] + " has no counterpart"};
    if (w[1] == "server")
      return tell(l, Fate::Changed, "the route-timeout: until the first token, not between two");
    tell(l, Fate::Carried, "");
  }

  void server(Proxy& p, const Line& l, bool back) {
    const auto& w = l.words;
    if (!back) throw No{"only backends have servers"};
    const bool is_template = w[0] == "server-template";
    if (w.size() < (is_template ? 4u : 3u)) throw No{"a server is a name and an address"};
    Server s;
    s.line = l, s.name = w[1], s.address = w[is_template ? 3 : 2];
    if (s.address.starts_with("ipv4@")) s.address = s.address.substr(5);
    const auto colon = s.address.rfind(':');
    const auto port = colon == std::string::npos ? std::nullopt : whole(s.address.substr(colon + 1));
    if (!port || *port < 1 || *port > 65535 || colon == 0 || s.address.find('/') != std::string::npos)
      throw No{"'" + s.address + "' is no HOST:PORT"};
    std::string without, replaced;
    const auto options = [&](const std::vector<std::string>& from, std::size_t at) {
      for (; at < from.size(); ++at) {
        const std::string& o = from[at];
        const auto value = [&] { return at + 1 < from.size() ? from[++at] : std::string(); };
        if (o == "weight") {
          const auto n = whole(value());
          if (!n) throw No{"its weight is no number"};
          s.weight = *n;
        } else if (o == "maxconn") {
          const auto n = whole(value());
          if (!n || *n > 100000) throw No{"its maxconn is no number up to 100000"};
          s.maxconn = *n;
        } else if (o == "backup") s.backup = true;
        else if (o == "disabled") s.disabled = true;
        else if (o == "enabled") s.disabled = false;
        else if (o == "slowstart") {
          double t = 0;
          if (!parse_time_ms(value(), t)) throw No{"its slowstart is no time"};
          p.slowstart = std::max(p.slowstart, t);
        } else if (o == "check" || o == "no-check") replaced = "check";
        else if (o == "inter" || o == "fastinter" || o == "downinter" || o == "rise" || o == "fall" ||
                 o == "port" || o == "observe" || o == "error-limit" || o == "on-error" ||
                 o == "on-marked-down")
          value(), replaced = "check";
        else if (o == "ssl" || o == "verify" || o == "ca-file" || o == "crt" || o == "sni")
          throw No{"engines are spoken to without TLS"};
        else if (o == "cookie" || o == "maxqueue" || o == "id" || o == "resolvers" || o == "init-addr" ||
                 o == "pool-max-conn" || o == "source" || o == "resolve-prefer" || o == "track" ||
                 o == "proto")
          value(), without += (without.empty() ? "" : ", ") + o;
        else without += (without.empty() ? "" : ", ") + o;
      }
    };
    options(p.server_defaults, 0);
    options(w, is_template ? 4 : 3);
    s.role = "both";
    bool told = false;
    for (const auto& [pattern, role] : options_.roles)
      if (!told && fits(pattern, s.name)) s.role = role, told = true;
    std::string why;
    const auto add = [&](const std::string& part) { why += (why.empty() ? "" : "; ") + part; };
    if (is_template) add("one engine at that address: a name's other addresses are not followed");
    if (!without.empty()) add("without " + without);
    if (!replaced.empty()) add("health is judged from its answers");
    if (!told) add("no role says whether it reads or writes: taken to do both");
    if (s.backup) add("a second tier of halls");
    if (s.weight == 0) s.disabled = true;
    for (const auto& other : p.servers)
      if (other.address == s.address)
        throw No{"its address stands already at " + other.line.file + ":" +
                 std::to_string(other.line.number)};
    p.servers.push_back(std::move(s));
    tell(l, why.empty() ? Fate::Carried : Fate::Changed, why);
  }

  // ---- out

  static std::string condition(const When& w) {
    using W = When::What;
    const char* what = w.what == W::Path         ? "path"
                       : w.what == W::PathBegins ? "path-begins"
                       : w.what == W::PathEnds   ? "path-ends"
                       : w.what == W::Header     ? "header"
                       : w.what == W::Method     ? "method"
                       : w.what == W::Source     ? "source"
                                                 : "port";
    std::string values;
    for (const auto& v : w.values) values += (values.empty() ? "" : "|") + v;
    return std::string("    <when ") + (w.no ? "not=\"true\" " : "") + "what=\"" + what + "\"" +
           (w.name.empty() ? "" : " name=\"" + xml(w.name) + "\"") +
           (w.values.empty() ? "" : " values=\"" + xml(values) + "\"") +
           (w.ignore_case ? " ignore-case=\"true\"" : "") + "/>\n";
  }

  std::string pool(const Proxy& b, const std::string& name) {
    std::string out = "  " + comment(b.head) + "\n  <pool name=\"" + name + "\">\n";
    std::set<std::string> roles;
    bool weighed = false;
    for (const auto& s : b.servers) roles.insert(s.role), weighed |= s.weight > 0 && s.weight != 1;
    for (const auto& role : roles) out += "    <kind name=\"" + role + "\" stage=\"" + role + "\"/>\n";
    out += "    <engines>\n";
    for (const auto& s : b.servers) {
      out += "      " + comment(s.line) + "\n      <engine address=\"" + xml(s.address) + "\" kind=\"" +
             s.role + "\"";
      if (s.backup) out += " zone=\"backup\"";
      if (s.weight > 0 && weighed) out += " size=\"" + std::to_string(s.weight) + "\"";
      if (s.maxconn > 0) out += " most=\"" + std::to_string(s.maxconn) + "\"";
      if (s.disabled) out += " state=\"draining\"";
      out += "/>\n";
    }
    out += "    </engines>\n";
    const double connect = b.connect.value_or(250);
    out += "    <rules drain-grace=\"" + ms(std::max(1000.0, connect + 250)) + "\"" +
           (b.slowstart > 0 ? " cold=\"" + ms(b.slowstart) + "\"" : "") + "/>\n";
    out += "    <sends connect=\"" + ms(connect) + "\"";
    if (b.retries) out += " most=\"" + std::to_string(2 * (*b.retries + 1)) + "\"";
    if (weighed) out += " sizes-told=\"true\"";
    return out + "/>\n  </pool>\n";
  }

  std::string write() {
    // Which backends are reached, in the order of the rules; and whether anything can be served at all.
    std::string routes;
    std::set<std::string> names;
    bool backup = false, any = false;
    const bool ports =
        std::count_if(fronts_.begin(), fronts_.end(), [](const Proxy& p) { return !p.binds.empty(); }) > 1;
    const auto back = [&](const std::string& name) -> const Proxy* {
      const auto it = std::find_if(backs_.begin(), backs_.end(),
                                   [&](const Proxy& p) { return p.name == name && !p.servers.empty(); });
      return it == backs_.end() ? nullptr : &*it;
    };
    std::map<std::string, std::string> pools;  // by backend
    std::set<std::string> pool_names;
    for (const auto& b : backs_) {
      if (b.servers.empty()) continue;
      std::string name = name_of(b.name);
      while (!pool_names.insert(name).second) name += "_";
      pools[b.name] = name;
      for (const auto& s : b.servers) backup |= s.backup;
    }
    const auto route = [&](const Proxy& f, const Line& from, const std::string& backend,
                           std::vector<When> all) {
      const Proxy& b = *back(backend);
      if (ports) {
        When here;
        here.what = When::What::Port;
        for (const auto& bind : f.binds) here.values.push_back(bind.substr(bind.rfind(':') + 1));
        all.insert(all.begin(), here);
      }
      std::string name = name_of(f.name + "." + backend);
      for (int n = 2; !names.insert(name).second; ++n)
        name = name_of(f.name + "." + backend) + "." + std::to_string(n);
      const double time = std::max(1000.0, b.server_time.value_or(10000));
      routes += "  " + comment(from) + "\n  <route name=\"" + name + "\" model=\"*\" pool=\"" +
                pools.at(backend) + "\" effect=\"" +
                (b.retriable || f.retriable ? "retriable" : "non-retriable") + "\" first-token-target=\"" +
                ms(std::min(time, 3000.0)) + "\" route-timeout=\"" + ms(time) + "\">\n";
      const bool second =
          std::any_of(b.servers.begin(), b.servers.end(), [](const Server& s) { return s.backup; });
      if (second) routes += "    <prefer zones=\"default\"/>\n    <prefer zones=\"backup\"/>\n";
      for (const When& w : all) routes += condition(w);
      routes += "  </route>\n", any = true;
    };
    for (const auto& f : fronts_) {
      if (f.binds.empty() || f.tcp) continue;
      bool closed = false;  // a rule without a condition: nothing after it is reached
      for (const auto& r : f.rules) {
        if (closed) {
          again(r.line, "never reached: a rule above it takes all");
          continue;
        }
        if (!back(r.backend)) {
          again(r.line, "backend '" + r.backend + "' has no server that is carried");
          continue;
        }
        for (const auto& all : r.when) {
          if (closed) break;
          route(f, r.line, r.backend, all);
          closed = all.empty();
        }
      }
      if (!f.default_backend) continue;
      if (closed) {
        if (f.default_line.number != f.head.number)
          again(f.default_line, "never reached: a rule above it takes all");
        continue;
      }
      if (back(*f.default_backend)) route(f, f.default_line, *f.default_backend, {});
      else again(f.default_line, "backend '" + *f.default_backend + "' has no server that is carried");
    }
    if (!any) return {};
    std::string out =
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<calicograde version=\"1\">\n  <front name=\"" +
        xml(options_.front) + "\">\n";
    std::set<std::string> listening;
    for (const auto& f : fronts_)
      for (std::size_t k = 0; k < f.binds.size(); ++k)
        if (listening.insert(f.binds[k]).second)
          out += "    " + comment(f.bind_lines[k]) + "\n    <listen address=\"" + xml(f.binds[k]) + "\"/>\n";
    if (connections_) {
      const std::string n = std::to_string(*connections_);
      out += "    " + comment(connections_line_) + "\n    <limits connections=\"" + n + "\" held=\"" + n +
             "\" queue=\"" + std::to_string(std::min<long>(1000000, std::max<long>(16384, *connections_))) +
             "\"/>\n";
    }
    const auto least = [&](auto which) {
      std::optional<double> t;
      for (const auto& f : fronts_)
        if (const auto own = f.*which) t = std::min(t.value_or(*own), *own);
      return t;
    };
    const auto request = least(&Proxy::request_time), idle = least(&Proxy::idle);
    if (request || idle)
      out += std::string("    <times") + (idle ? " idle=\"" + ms(*idle) + "\"" : "") +
             (request ? " header=\"" + ms(*request) + "\"" : "") + "/>\n";
    out += "  </front>\n";
    if (backup) out += "  <zones><zone name=\"default\"/><zone name=\"backup\"/></zones>\n";
    for (const auto& b : backs_)
      if (!b.servers.empty()) out += pool(b, pools.at(b.name));
    return out + routes + "</calicograde>\n";
  }

  // A line that was told of already turns out not to be carried.
  void again(const Line& l, const std::string& why) {
    for (auto& t : told_)
      if (t.file == l.file && t.line == l.number) t.fate = Fate::NotCarried, t.why = why;
  }

  const Config& config_;
  const Options& options_;
  std::map<std::string, std::size_t> order_;
  std::vector<Told> told_;
  std::map<std::string, Proxy> defaults_;
  std::optional<std::string> last_defaults_;
  std::vector<Proxy> fronts_, backs_;
  std::optional<long> connections_;
  Line connections_line_;
};

}  // namespace

const char* word(Fate fate) {
  switch (fate) {
    case Fate::Blank: return "blank";
    case Fate::Carried: return "carried";
    case Fate::Changed: return "carried with a change";
    case Fate::Replaced: return "replaced by the design";
    case Fate::NotCarried: return "not carried";
  }
  return "?";
}

Imported import(const Config& config, const Options& options) { return Importer(config, options).run(); }

}  // namespace calicograde::haproxy
