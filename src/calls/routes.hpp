// Which route a call takes. The table is compiled once into a trie of the path's words ("dawa", "Catalogue",
// "/Search"); a look-up walks the words of one path and never the list of routes.
//
// Most specific first: the exact method before the service, that before the longest prefix; on one level a
// named authority before any, then the more metadata conditions (an exact value counts more than mere
// presence). Two routes that could both match and stand on the same step are a fault.
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

struct Match {
  enum class Kind : std::uint8_t { any, prefix, service, method };
  Kind kind = Kind::any;
  std::string service;               // of a prefix: whole words, "dawa" for "dawa.stock.Catalogue"
  std::string method;                // of Kind::method
  std::string authority;             // exact, in lower case; empty: any
  Fields exact;                      // metadata with these values
  std::vector<std::string> present;  // metadata with any value

  std::string text() const;  // "/dawa.Catalogue/Search authority=a x-tier=gold x-debug=*"
};

struct Considered {
  std::size_t route;
  std::string why;  // it was not taken, or was
};

class Routes {
 public:
  // Positions in `matches` are the routes' numbers. The text names two routes that are equal.
  static std::variant<Routes, std::string> compile(const std::vector<Match>& matches);

  // The route of a request's head; none: no route matches. `considered`, where given, gets each route looked
  // at, in order.
  std::optional<std::size_t> find(const Fields& head, std::vector<Considered>* considered = nullptr) const;
  std::size_t size() const { return matches_.size(); }

 private:
  struct Step {
    std::map<std::string, std::unique_ptr<Step>, std::less<>> next;
    std::vector<std::size_t> prefix, here;  // routes of Kind::prefix or any; of Kind::service or method
  };
  void add(std::size_t route);
  std::optional<std::string> sort(std::vector<std::size_t>& routes);
  std::optional<std::string> sortAll(Step& step);

  std::vector<Match> matches_;
  std::unique_ptr<Step> root_;
};

}  // namespace topazweir::calls
