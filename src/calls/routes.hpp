// Routing table for calls. It is compiled once into a trie of the path's components ("dawa", "Catalogue",
// "/Search"); a look-up walks the components of one path instead of the list of routes.
//
// The most specific route wins: the exact method before the service, the service before the longest prefix.
// At one level a route with an authority goes before one without, then the one with more metadata conditions,
// where exact values count before mere presence. Two routes at one node of the trie that are equally specific
// and could match the same call are an error.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "calls/metadata.hpp"

namespace topazweir::calls {

// The conditions of one route.
struct RouteMatch {
  enum class Kind : std::uint8_t { any, prefix, service, method };
  Kind kind = Kind::any;
  std::string service;               // for Kind::prefix: whole components, "dawa" for "dawa.stock.Catalogue"
  std::string method;                // for Kind::method
  std::string authority;             // matched without regard to case; empty: any
  Fields exact;                      // metadata required with these values
  std::vector<std::string> present;  // metadata required with any value

  std::string text() const;  // "/dawa.Catalogue/Search authority=a x-tier=gold x-debug=*"
};

// A route examined by a look-up.
struct ExaminedRoute {
  std::size_t route;  // index
  std::string why;    // why the route matched or did not match
};

class Routes {
 public:
  // Routes are numbered by their position in `matches`. Returns an error message if two routes are equally
  // specific and could match the same call.
  static std::variant<Routes, std::string> compile(const std::vector<RouteMatch>& matches);

  // The route for a request's header fields; nullopt if none matches. `considered`, if given, receives each
  // route examined, in order.
  std::optional<std::size_t> find(const Fields& head, std::vector<ExaminedRoute>* considered = nullptr) const;
  std::size_t size() const { return matches_.size(); }

 private:
  // A node of the trie.
  struct Node {
    std::map<std::string, std::unique_ptr<Node>, std::less<>> next;
    std::vector<std::size_t> prefix;  // routes of Kind::prefix or any
    std::vector<std::size_t> exact;   // routes of Kind::service or method
  };
  void add(std::size_t route);
  std::optional<std::string> sort(std::vector<std::size_t>& routes);
  std::optional<std::string> sortAll(Node& node);

  std::vector<RouteMatch> matches_;
  std::unique_ptr<Node> root_;
};

}  // namespace topazweir::calls
