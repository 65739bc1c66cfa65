#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/types.hpp"
#include "engines/completions.hpp"
#include "front/engine_signs.hpp"
#include "http/http.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

// An answer that has begun at an engine; read by the client's thread alone.
class EngineStream {
 public:
  enum class Next { Chunk, Finished, Broken, Garbage, Silent, ClientLeft };
  // What has come of it before it was handed over.
  struct Begun {
    http::EventReader events;
    std::vector<http::ServerEvent> ready;
    std::string bytes;  // where it is passed on as it comes
  };
  EngineStream(http::ClientConnection link, Begun begun, net::Address engine, Usage usage,
               std::shared_ptr<EngineSign> sign);
  // The next chunk of the answer; Silent if none came by the deadline (it may be asked again). While it waits
  // it looks whether the client behind `client_fd` has hung up.
  Next next(engines::Chunk& out, Instant deadline, int client_fd);
  // The same for an answer that is passed on as it comes: the next whole events of it, none where one has
  // come in part.
  Next next_bytes(std::string& out, Instant deadline, int client_fd);
  const Usage& usage() const { return usage_; }  // what is known so far
  const net::Address& engine() const { return engine_; }
  http::ClientConnection take_link() { return std::move(link_); }

 private:
  http::ClientConnection link_;
  Begun begun_;
  std::string tail_;  // of an answer that is passed on: an event that has come in part
  std::size_t at_ = 0;
  net::Address engine_;
  Usage usage_;
  const std::shared_ptr<EngineSign> sign_;  // of the engine; null = nobody asks
  bool finished_ = false, body_done_ = false;
};

}  // namespace calicograde::front
