#pragma once

#include <string_view>

namespace calicograde::lab {
std::string_view day_schema();
}
