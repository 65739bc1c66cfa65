#pragma once

#include <memory>

#include "front/draining.hpp"
#include "front/server.hpp"

namespace calicograde::front {

// The operators' interface: JSON over HTTP under /admin/v1/ (docs/operators/admin.md). Reads are copied out
// by the modules' owner in slices, between two events.
std::unique_ptr<Protocol> admin_front(Core& core, Draining& draining, const Server& clients,
                                      std::string token);

}  // namespace calicograde::front
