#include "lab/record.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace calicograde::lab {

void Recorder::add(Record r) {
  const std::lock_guard lock(mutex_);
  records_.push_back(std::move(r));
}
std::vector<Record> Recorder::all() const {
  const std::lock_guard lock(mutex_);
  return records_;
}
void Recorder::write(const std::string& file) const {
  std::ofstream out(file);
  for (const Record& r : all())
    out << nlohmann::ordered_json{{"at_ms", (r.at - Instant{}).as_millis()},
                                  {"what", r.what},
                                  {"where", r.where},
                                  {"name", r.name},
                                  {"mark", r.mark},
                                  {"how", r.how},
                                  {"number", r.number}}
               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << '\n';
  if (!out.flush()) throw std::runtime_error("cannot write " + file);
}

}  // namespace calicograde::lab
