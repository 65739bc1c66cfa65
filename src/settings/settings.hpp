#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "halls/halls.hpp"
#include "http/http.hpp"
#include "limits/caps.hpp"
#include "limits/spill.hpp"
#include "matching/when.hpp"
#include "net/socket.hpp"
#include "rounds/rounds.hpp"
#include "settings/xml.hpp"
#include "tools/tool_desk.hpp"

namespace calicograde::settings {

// What an engine of a kind offers beside the public calls (docs/front.md, "The extension").
struct KindOffers {
  std::string name;
  bool release = false, places = false, reports = false, cache_events = false;
};

// An engine named in the settings themselves, where there is no roster.
struct StaticEngine {
  std::string address, kind, zone;
  double size = 1;
  std::uint32_t most = 0;
  bool draining = false;
};

struct Pool {
  std::string name;
  Settings routing;  // what the module of this pool is started with
  std::vector<KindOffers> kinds;
  std::optional<net::Address> roster_server;
  std::string roster_file;
  std::vector<StaticEngine> engines;
  Span roster_every = Span::millis(500);
  Span connect = Span::millis(250);
  Span drain_grace = {};  // nothing is sent so long after an engine was told to drain; zero = no such rule
  // Links to engines: of the time that an engine leaves them open, the part in which they are used again; how
  // many may stand idle at one engine and in all; how long one is left alone after its last answer.
  double idle_used = 1;
  std::size_t idle_links_each = 256, idle_links = 65536;
  Span link_rest = {};
  // What a lost hall is; and the index of prompts: bytes of a block, blocks kept in all (0 = no index),
  // engines that it knows of.
  halls::Rules halls;
  limits::CapRules caps;
  limits::SpillRules spill;
  std::vector<limits::RouteCap> route_caps;  // by the route's number, as the next
  std::vector<limits::RouteTiers> route_tiers;
  std::size_t index_block = 256, index_blocks = 1000000, index_engines = 1024;
};

struct Route {
  std::string name, model, engine_model;  // model: exact, or a prefix ending in *
  std::size_t pool = 0;                   // in Front::pools
  std::uint16_t number = 0;               // among the pool's routes
  Span timeout, timeout_per_1000_tokens;
  Effect effect = Effect::Retriable;
  double max_tokens = 0;             // 0 = as the client says
  std::vector<matching::When> when;  // all must hold, beside the model
  rounds::Rules relay;               // of tools that the front calls itself in the midst of a message
  int line = 0;
};

struct ToolServer {
  std::string name, path = "/mcp";
  net::Address address;
};
// A tool of the front's own that answers by an inference on a route.
struct TextTool {
  std::string name, description, system;  // system: what stands before the text
  std::size_t route = 0;                  // in Front::routes
  int max_tokens = 256;
};
// The second front: tool calls relayed to tool servers.
struct Tools {
  std::string path = "/mcp";
  std::vector<std::string> origins;  // allowed; a request without an Origin is no browser's and is let in
  std::vector<ToolServer> servers;
  std::vector<TextTool> texts;
  tools::DeskSettings desk;
  std::size_t sessions = 1000,
              kept_bytes = 4 << 20;  // sessions at once; of each, what is kept for resumption
  Span list_every = Span::millis(10000);
};

// Where operators' tools come in; none = nowhere.
struct Admin {
  net::Address listen;     // a unix socket, or loopback
  std::string token_file;  // its first line is what a caller must name; needed for all but a unix socket
  std::string state;       // a folder for what stands through a restart; empty = nothing does
  std::size_t connections = 64;
};

// What is learnt is kept in a folder through restarts.
struct Keep {
  std::string folder;
  Span every = Span::millis(10000);
};

struct Front {
  std::string name;
  int number = 0, of = 1;
  std::uint64_t seed = 0;
  std::vector<std::string> zones;
  std::vector<net::Address> listen;
  http::Limits http;
  std::size_t connections = 4096, held = 4096, sends = 4096, queue = 16384, short_asks = 64,
              stack = 128 << 10;
  Span stream_silence = Span::millis(30000), ping = Span::millis(10000), stop = Span::millis(20000);
  std::string budget_header = "x-budget-ms";
  std::string log_level = "info", log_file;
  std::vector<Pool> pools;
  std::vector<Route> routes;
  std::optional<Tools> tools;
  std::optional<Admin> admin;
  std::optional<Keep> keep;
  std::string text, digest;  // of the settings' file: as read, and its 128 bits in hex
};

// Reads, checks against the schema, then for sense. All faults are appended; none is returned if there is
// one.
std::optional<Front> load(const std::string& file, std::string_view text, std::vector<Fault>& faults);
std::optional<Front> load_file(const std::string& file, std::vector<Fault>& faults);
std::string_view schema();

}  // namespace calicograde::settings
