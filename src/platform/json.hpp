#pragma once

#include <nlohmann/json.hpp>
#include <string>

// Reading JSON without surprises, for this package alone.
namespace calicograde::platform {

using Json = nlohmann::json;

inline const Json* at(const Json& j, const char* name) {
  if (!j.is_object()) return nullptr;
  const auto it = j.find(name);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
inline std::string text_at(const Json& j, const char* name) {
  const Json* v = at(j, name);
  return v && v->is_string() ? v->get<std::string>() : std::string{};
}
inline double number_at(const Json& j, const char* name, double absent) {
  const Json* v = at(j, name);
  return v && v->is_number() ? v->get<double>() : absent;
}
// As names stand in settings' values: without spaces and commas.
inline std::string plain_name(std::string name) {
  for (char& c : name)
    if (c == ' ' || c == ',') c = '_';
  return name;
}

}  // namespace calicograde::platform
