#include "broker/route.hpp"

#include <charconv>

namespace topazweir::broker {

void ModuleDriver::addRequest(RequestNo no, const OpenRequest& open) {
  const auto& r = open.request;
  add(QueryArrived{queryId(no), no, r.queryClass, open.due - open.takenAt, static_cast<int>(r.parts.size()),
                   r.repeat});
  for (std::size_t i = 0; i < r.parts.size(); ++i)
    add(PartArrived{partId(no, i), no, r.parts[i].shard, r.parts[i].weight});
}

AttemptId ModuleDriver::parse(const std::string& id) {
  AttemptId out;
  const char* end = id.data() + id.size();
  const auto [at, error] = std::from_chars(id.data(), end, out.request);
  if (error == std::errc{} && at != end && *at == '.') std::from_chars(at + 1, end, out.part);
  return out;
}

}  // namespace topazweir::broker
