#pragma once

#include <memory>

#include "front/server.hpp"
#include "platform/names.hpp"

namespace calicograde::node {

// The platform's clients: one inference a request, its answer the events of one engine as they come.
std::unique_ptr<front::Protocol> client_front(front::Core& core, const platform::Decoded& names);

}  // namespace calicograde::node
