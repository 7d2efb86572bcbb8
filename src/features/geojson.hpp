// GeoJSON and links as used by OGC API - Features. Features are passed on as the text that the server sent.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace topazweir::features {

// One page of a feature server's response.
struct Page {
  std::vector<std::string> features;  // each as the server wrote it
  std::string next;                   // target of the `next` link; empty: this is the last page
};

// Parses a GeoJSON FeatureCollection; none if the text is not a valid one.
std::optional<Page> readPage(std::string_view json);

// Whether the text is one GeoJSON Feature.
bool isFeature(std::string_view json);

// Joins features with commas, the form in which a part's value passes through the broker.
std::string join(const std::vector<std::string>& features);
// Splits what join() has joined; empty if the text is malformed.
std::vector<std::string> split(std::string_view joined);

struct Link {
  std::string href;
  std::string rel;
  std::string type;   // media type
  std::string title;  // empty: left out
};
// Formats links as a JSON array.
std::string formatLinks(const std::vector<Link>& links);

}  // namespace topazweir::features
