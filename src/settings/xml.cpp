#include "settings/xml.hpp"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace calicograde::settings {
namespace {

struct Gather {
  const std::string& file;
  std::vector<Fault>& faults;
};

std::string without(std::string text, std::string_view part) {
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part)) text.erase(at, part.size());
  return text;
}

// What the schema's reader says, turned into a mend where the cause is a usual one.
std::string mend_for(const std::string& what) {
  const auto has = [&](const char* part) { return what.find(part) != std::string::npos; };
  if (has("(us|ms|s|m|h)") || has("type 'time'")) return "write a number and a unit, such as 250ms or 3s";
  if (has("(B|KiB|MiB|GiB)") || has("type 'size'")) return "write a number and a unit, such as 16KiB or 4MiB";
  if (has("is required but missing")) return "add the attribute";
  if (has("is not allowed")) return "remove the attribute, or look for a slip in its name";
  if (has("Missing child element")) return "add what is named as expected";
  if (has("not expected")) return "move or remove the element; the order is front, zones, pool, route, tools";
  if (has("not an element of the set")) return "use one of the values named";
  if (has("hostport") || has("[0-9]{1,5}")) return "write HOST:PORT, an IPv6 address in brackets";
  return "see docs/operators/running.md for what stands here";
}

void gather(void* to, xmlErrorPtr e) {
  Gather& g = *static_cast<Gather*>(to);
  std::string what = e->message ? e->message : "unreadable";
  while (!what.empty() && (what.back() == '\n' || what.back() == '.')) what.pop_back();
  // libxml2 reports a failed pattern and, beside it, the type that it belongs to: one line is enough.
  if (what.find("is not a valid value of the atomic type") != std::string::npos && !g.faults.empty() &&
      g.faults.back().line == e->line && g.faults.back().what.find("[facet") != std::string::npos)
    return;
  g.faults.push_back({g.file, e->line, without(what, "[facet 'pattern'] "), mend_for(what)});
}

Element take(const xmlNode* node) {
  Element out;
  out.name = reinterpret_cast<const char*>(node->name);
  out.line = static_cast<int>(xmlGetLineNo(node));
  for (const xmlAttr* a = node->properties; a; a = a->next) {
    xmlChar* value = xmlNodeListGetString(node->doc, a->children, 1);
    out.attributes.emplace_back(reinterpret_cast<const char*>(a->name),
                                value ? reinterpret_cast<const char*>(value) : "");
    xmlFree(value);
  }
  for (const xmlNode* c = node->children; c; c = c->next)
    if (c->type == XML_ELEMENT_NODE) out.children.push_back(take(c));
  return out;
}

}  // namespace

std::string text_of(const Fault& f) {
  return f.file + ":" + std::to_string(f.line) + ": " + f.what + (f.mend.empty() ? "" : "; " + f.mend);
}

std::optional<Span> parse_time(std::string_view text) {
  double n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc{} || n < 0) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const double scale = unit == "us"   ? 1e-3
                       : unit == "ms" ? 1
                       : unit == "s"  ? 1e3
                       : unit == "m"  ? 6e4
                       : unit == "h"  ? 3.6e6
                                      : 0;
  if (scale == 0 || n * scale > 1e11) return std::nullopt;
  return Span::from_millis(n * scale);
}

std::optional<std::size_t> parse_size(std::string_view text) {
  std::size_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc{}) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  const int shift = unit == "B" ? 0 : unit == "KiB" ? 10 : unit == "MiB" ? 20 : unit == "GiB" ? 30 : -1;
  if (shift < 0 || n > (std::size_t{1} << 40) >> shift) return std::nullopt;
  return n << shift;
}

const std::string* Element::attribute(std::string_view n) const {
  for (const auto& [key, value] : attributes)
    if (key == n) return &value;
  return nullptr;
}
std::string Element::text(std::string_view n, std::string_view absent) const {
  const auto* v = attribute(n);
  return v ? *v : std::string(absent);
}
Span Element::time(std::string_view n, Span absent) const {
  const auto* v = attribute(n);
  return v ? parse_time(*v).value_or(absent) : absent;
}
std::size_t Element::size(std::string_view n, std::size_t absent) const {
  const auto* v = attribute(n);
  return v ? parse_size(*v).value_or(absent) : absent;
}
double Element::number(std::string_view n, double absent) const {
  const auto* v = attribute(n);
  if (!v) return absent;
  double out = absent;
  std::from_chars(v->data(), v->data() + v->size(), out);
  return out;
}
bool Element::flag(std::string_view n, bool absent) const {
  const auto* v = attribute(n);
  return v ? *v == "true" || *v == "1" : absent;
}
const Element* Element::child(std::string_view n) const {
  for (const auto& c : children)
    if (c.name == n) return &c;
  return nullptr;
}
std::vector<const Element*> Element::all(std::string_view n) const {
  std::vector<const Element*> out;
  for (const auto& c : children)
    if (c.name == n) out.push_back(&c);
  return out;
}

std::optional<std::string> read_file(const std::string& file, std::vector<Fault>& faults,
                                     std::size_t most_bytes) {
  constexpr std::size_t step_bytes = 64 << 10;
  std::ifstream in(file, std::ios::binary);
  std::string text;
  while (in && text.size() <= most_bytes) {
    const std::size_t before = text.size();
    text.resize(before + step_bytes);
    in.read(text.data() + before, static_cast<std::streamsize>(step_bytes));
    text.resize(before + static_cast<std::size_t>(in.gcount()));
  }
  const bool whole = in.eof() && text.size() <= most_bytes;
  if (!whole || (text.empty() && !in)) {
    if (in.bad())
      faults.push_back({file, 0, "cannot be read whole: the disk failed", "check the disk, then try again"});
    else if (!in.is_open())
      faults.push_back(
          {file, 0, std::string("cannot be read: ") + std::strerror(errno), "check the path and its rights"});
    else if (text.size() > most_bytes)
      faults.push_back({file, 0, "is larger than " + std::to_string(most_bytes >> 20) + " MiB", "split it"});
    else if (text.empty()) faults.push_back({file, 0, "is empty or no file", "name a file of settings"});
    if (!faults.empty()) return std::nullopt;
  }
  return text;
}

std::optional<Element> read_xml(const std::string& file, std::string_view text, std::string_view schema,
                                std::vector<Fault>& faults) {
  xmlInitParser();
  Gather to{file, faults};
  using Doc = std::unique_ptr<xmlDoc, decltype(&xmlFreeDoc)>;
  xmlSetStructuredErrorFunc(&to, reinterpret_cast<xmlStructuredErrorFunc>(&gather));
  Doc doc(xmlReadMemory(text.data(), static_cast<int>(text.size()), file.c_str(), nullptr,
                        XML_PARSE_NONET | XML_PARSE_BIG_LINES),
          &xmlFreeDoc);
  std::optional<Element> out;
  if (doc && xmlDocGetRootElement(doc.get())) {
    const std::unique_ptr<xmlSchemaParserCtxt, decltype(&xmlSchemaFreeParserCtxt)> reader(
        xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())), &xmlSchemaFreeParserCtxt);
    const std::unique_ptr<xmlSchema, decltype(&xmlSchemaFree)> compiled(xmlSchemaParse(reader.get()),
                                                                        &xmlSchemaFree);
    const std::unique_ptr<xmlSchemaValidCtxt, decltype(&xmlSchemaFreeValidCtxt)> check(
        xmlSchemaNewValidCtxt(compiled.get()), &xmlSchemaFreeValidCtxt);
    if (check) {
      xmlSchemaSetValidStructuredErrors(check.get(), reinterpret_cast<xmlStructuredErrorFunc>(&gather), &to);
      xmlSchemaValidateDoc(check.get(), doc.get());
    }
    out = take(xmlDocGetRootElement(doc.get()));
  } else if (faults.empty()) {
    faults.push_back({file, 1, "is no XML", "begin with <calicograde version=\"1\">"});
  }
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  return out;
}

}  // namespace calicograde::settings
