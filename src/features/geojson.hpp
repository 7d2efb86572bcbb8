// GeoJSON and links as OGC API - Features uses them. Features pass through as the text they came in.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace topazweir::features {

struct Page {
  std::vector<std::string> features;  // each as the server wrote it
  std::string next;                   // the `next` link's target; empty: this is the last page
};

// A page of a FeatureCollection; none when it is no such thing.
std::optional<Page> readPage(std::string_view json);

// Whether the text is one GeoJSON Feature.
bool isFeature(std::string_view json);

// Features joined by commas, as they travel through the broker, and apart again.
std::string join(const std::vector<std::string>& features);
std::vector<std::string> split(std::string_view joined);

struct Link {
  std::string href, rel, type, title;
};
std::string writeLinks(const std::vector<Link>& links);

}  // namespace topazweir::features
