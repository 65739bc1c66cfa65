// Hosts instances of the router on the simulator's wire: batches in on standard input, one flushed
// reply each on standard output.
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "routing/router.hpp"
#include "simhost/wire.hpp"

namespace calicograde::simhost {
namespace {

struct Instance {
  Router router;
  std::vector<platform::ReportField> report_fields;
};

// False at a clean end of input.
bool fill(std::vector<std::uint8_t>& buffer, std::size_t n, bool may_end, const std::string& what) {
  buffer.resize(n);
  const std::size_t got = n == 0 ? 0 : std::fread(buffer.data(), 1, n, stdin);
  if (got == n) return true;
  if (got == 0 && may_end) return false;
  throw WireError(what + ": input ends after " + std::to_string(got) + " of " + std::to_string(n) + " bytes");
}

void attach(Event& event, std::optional<LoadReport> report) {
  if (auto* s = std::get_if<SendEnded>(&event)) s->report = report;
  if (auto* p = std::get_if<ProbeEnded>(&event)) p->report = report;
}

void run() {
  std::map<std::uint32_t, Instance> instances;
  std::vector<std::uint8_t> head, body;
  RecordReader::Record record;
  ReplyWriter reply;
  while (fill(head, batch_header_size, true, "a batch's header")) {
    const BatchHeader header = read_header(head);
    const std::string batch = "batch " + std::to_string(header.number);
    // In pieces: a wrong length must not ask for 4 GB at once.
    for (std::size_t got = 0; got < header.length;) {
      std::vector<std::uint8_t> piece;
      const std::size_t want = std::min<std::size_t>(header.length - got, 1 << 22);
      if (got == 0 && want == header.length) {
        fill(body, want, false, batch + ": records");
      } else {
        if (got == 0) body.clear();
        fill(piece, want, false, batch + ": records, from byte " + std::to_string(got));
        body.insert(body.end(), piece.begin(), piece.end());
      }
      got += want;
    }
    if (header.length == 0) body.clear();
    reply.begin(header.number);
    RecordReader reader(header.number, body);
    while (!reader.done()) {
      reader.next(record);
      try {
        if (record.what == RecordReader::Record::What::Shutdown) {
          instances.erase(record.instance);
        } else if (record.what == RecordReader::Record::What::Boot) {
          auto decoded = platform::read_settings(platform::pairs_of(record.settings));
          instances.erase(record.instance);
          instances.emplace(record.instance, Instance{Router(record.seed, decoded.settings),
                                                      std::move(decoded.report_fields)});
        } else if (const auto it = instances.find(record.instance); it != instances.end()) {
          attach(record.event, name_report(record.report, it->second.report_fields));
          for (const Action& a : it->second.router.handle(header.now, record.event))
            reply.add(record.instance, a);
        }
      } catch (const platform::SettingsError& e) {
        reader.fail(e.what());
      } catch (const std::exception& e) {
        reply.panic(record.instance, e.what());
      }
    }
    const auto& bytes = reply.finish();
    if (std::fwrite(bytes.data(), 1, bytes.size(), stdout) != bytes.size() || std::fflush(stdout) != 0)
      throw WireError(batch + ": the reply can't be written");
  }
}

}  // namespace
}  // namespace calicograde::simhost

int main() {
  try {
    calicograde::simhost::run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "calicograde_simhost: %s\n", e.what());
    return 1;
  }
  return 0;
}
