#include "calls/routes.hpp"

#include <algorithm>
#include <tuple>

namespace topazweir::calls {

namespace {

// Visits the components of a service name ("dawa.stock.Catalogue": dawa, stock, Catalogue) as views into it.
template <class Visit>
void forEachComponent(std::string_view service, Visit&& visit) {
  while (!service.empty()) {
    const auto dot = std::min(service.find('.'), service.size());
    visit(service.substr(0, dot));
    service.remove_prefix(std::min(dot + 1, service.size()));
  }
}

auto specificity(const RouteMatch& m) {
  return std::tuple(!m.authority.empty(), m.exact.size(), m.present.size());
}

// Whether one call could match both: not if they require different authorities or different values of one
// field.
bool overlap(const RouteMatch& a, const RouteMatch& b) {
  if (a.authority != b.authority && !a.authority.empty() && !b.authority.empty()) return false;
  for (const auto& x : a.exact)
    for (const auto& y : b.exact)
      if (x.name == y.name && x.value != y.value) return false;
  return true;
}

bool equalIgnoringCase(std::string_view asked, std::string_view host) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  return std::equal(asked.begin(), asked.end(), host.begin(), host.end(),
                    [&](char x, char y) { return lower(x) == lower(y); });
}

// Why the route does not match the header fields; empty if it does.
std::string mismatch(const RouteMatch& m, const Fields& head) {
  if (!m.authority.empty() && !equalIgnoringCase(find(head, ":authority").value_or(""), m.authority))
    return "the authority is not " + m.authority;
  for (const auto& want : m.exact) {
    const bool has = std::any_of(head.begin(), head.end(), [&](const Field& f) { return f == want; });
    if (!has) return want.name + " is not " + want.value;
  }
  for (const auto& name : m.present)
    if (!find(head, name)) return name + " is absent";
  return {};
}

}  // namespace

std::string RouteMatch::text() const {
  std::string out = kind == Kind::method    ? "/" + service + "/" + method
                    : kind == Kind::service ? "/" + service + "/*"
                    : kind == Kind::prefix  ? "/" + service + ".*"
                                            : "/*";
  if (!authority.empty()) out += " authority=" + authority;
  for (const auto& f : exact) out += " " + f.name + "=" + f.value;
  for (const auto& name : present) out += " " + name + "=*";
  return out;
}

std::variant<Routes, std::string> Routes::compile(const std::vector<RouteMatch>& matches) {
  Routes out;
  out.matches_ = matches;
  out.root_ = std::make_unique<Node>();
  for (std::size_t i = 0; i < matches.size(); ++i) out.add(i);
  if (auto fault = out.sortAll(*out.root_)) return std::move(*fault);
  return out;
}

void Routes::add(std::size_t route) {
  const RouteMatch& m = matches_[route];
  Node* at = root_.get();
  const auto go = [&](std::string_view word) {
    auto& next = at->next[std::string(word)];
    if (!next) next = std::make_unique<Node>();
    at = next.get();
  };
  forEachComponent(m.service, go);
  if (m.kind == RouteMatch::Kind::method) go("/" + m.method);
  const bool open = m.kind == RouteMatch::Kind::any || m.kind == RouteMatch::Kind::prefix;
  (open ? at->prefix : at->exact).push_back(route);
}

std::optional<std::string> Routes::sort(std::vector<std::size_t>& routes) {
  std::stable_sort(routes.begin(), routes.end(), [&](std::size_t a, std::size_t b) {
    return specificity(matches_[a]) > specificity(matches_[b]);
  });
  for (std::size_t i = 0; i < routes.size(); ++i)
    for (std::size_t j = i + 1; j < routes.size(); ++j) {
      const auto &a = matches_[routes[i]], &b = matches_[routes[j]];
      if (specificity(a) == specificity(b) && overlap(a, b))
        return "routes " + std::to_string(routes[i]) + " and " + std::to_string(routes[j]) +
               " are equal: " + a.text() + " and " + b.text();
    }
  return std::nullopt;
}

std::optional<std::string> Routes::sortAll(Node& node) {
  for (auto* routes : {&node.exact, &node.prefix})
    if (auto fault = sort(*routes)) return fault;
  for (auto& [word, next] : node.next)
    if (auto fault = sortAll(*next)) return fault;
  return std::nullopt;
}

std::optional<std::size_t> Routes::find(const Fields& head, std::vector<ExaminedRoute>* considered) const {
  const auto path = parsePath(calls::find(head, ":path").value_or(""));
  if (!path) return std::nullopt;
  std::vector<const Node*> visited{root_.get()};
  bool whole = true;  // the trie has all components of the service
  forEachComponent(path->service, [&](std::string_view word) {
    if (!whole) return;
    const auto at = visited.back()->next.find(word);
    whole = at != visited.back()->next.end();
    if (whole) visited.push_back(at->second.get());
  });
  std::optional<std::size_t> found;
  const auto examine = [&](const std::vector<std::size_t>& routes) {
    for (const auto route : routes) {
      if (found) return;
      const auto why = mismatch(matches_[route], head);
      if (considered) considered->push_back({route, why.empty() ? "taken: " + matches_[route].text() : why});
      if (why.empty()) found = route;
    }
  };
  if (whole) {
    const auto method = visited.back()->next.find("/" + std::string(path->method));
    if (method != visited.back()->next.end()) examine(method->second->exact);
    examine(visited.back()->exact);
    // A prefix names a package: it matches services inside it, not a service of exactly that name.
    visited.pop_back();
  }
  if (visited.empty()) visited.push_back(root_.get());
  for (auto step = visited.rbegin(); step != visited.rend() && !found; ++step) examine((*step)->prefix);
  return found;
}

}  // namespace topazweir::calls
