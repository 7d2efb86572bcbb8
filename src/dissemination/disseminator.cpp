#include "dissemination/disseminator.hpp"

namespace topazweir::dissemination {

struct Disseminator::Impl {
  Settings settings;
  agreement::Register held;
  std::string parent;
  Counters counters;
};

Disseminator::Disseminator(Settings settings) : impl_(std::make_unique<Impl>()) {
  impl_->settings = std::move(settings);
}
Disseminator::~Disseminator() = default;
std::vector<Out> Disseminator::agreed(const agreement::Register&, const std::vector<agreement::Command>&,
                                      const std::string&, Nanos) {
  return {};
}
void Disseminator::sees(std::vector<Peer>) {}
std::vector<Out> Disseminator::tick(Nanos) { return {}; }
std::vector<Out> Disseminator::received(const std::string&, std::string_view, Nanos) { return {}; }
const agreement::Register& Disseminator::held() const { return impl_->held; }
Position Disseminator::position() const { return {}; }
Nanos Disseminator::age(Nanos) const { return -1; }
const std::string& Disseminator::parent() const { return impl_->parent; }
std::size_t Disseminator::children() const { return 0; }
InForce Disseminator::inForce() const { return {}; }
const Counters& Disseminator::counters() const { return impl_->counters; }

}  // namespace topazweir::dissemination
