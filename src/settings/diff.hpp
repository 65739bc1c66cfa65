#pragma once

#include <string>
#include <vector>

#include "settings/xml.hpp"

namespace calicograde::settings {

// What two settings say differently, in sentences about routes, pools and their parts, in their order: what
// comes as "pool main: kind decode is new". Lines, order of attributes and white space make no difference;
// the order of routes does, since the first that fits is taken.
std::vector<std::string> diff(const Element& before, const Element& after);

}  // namespace calicograde::settings
