// The open requests: what has been taken and not yet got its final answer.
#pragma once

#include <map>
#include <string>
#include <unordered_set>

#include "broker/ports.hpp"

namespace topazweir::broker {

struct Attempt {
  ServerId server = 0;
  Nanos sentAt = 0;
  bool out = true;
};

struct OpenPart {
  int shard = 0;
  std::vector<Attempt> attempts;
  bool delivered = false;
  std::string value;
};

struct OpenRequest {
  Request request;
  Front* front = nullptr;
  Nanos takenAt = 0, due = 0;
  std::shared_ptr<const std::string> query;
  std::vector<OpenPart> parts;
};

class OpenRequests {
 public:
  OpenRequest* find(RequestNo no) {
    const auto at = byNo_.find(no);
    return at == byNo_.end() ? nullptr : &at->second;
  }
  bool hasId(const std::string& id) const { return ids_.count(id) > 0; }
  OpenRequest& add(RequestNo no, OpenRequest request) {
    held_ += 1 + request.parts.size();
    ids_.insert(request.request.id);
    return byNo_.try_emplace(no, std::move(request)).first->second;
  }
  void remove(RequestNo no) {
    const auto at = byNo_.find(no);
    if (at == byNo_.end()) return;
    held_ -= 1 + at->second.parts.size();
    ids_.erase(at->second.request.id);
    byNo_.erase(at);
  }
  std::size_t held() const { return held_; }  // queries and parts
  std::size_t count() const { return byNo_.size(); }
  const std::map<RequestNo, OpenRequest>& all() const { return byNo_; }

 private:
  std::map<RequestNo, OpenRequest> byNo_;
  std::unordered_set<std::string> ids_;
  std::size_t held_ = 0;
};

}  // namespace topazweir::broker
