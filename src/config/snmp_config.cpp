#include "config/snmp_config.hpp"

#include <cctype>

#include "config/reader.hpp"

namespace topazweir::config {

Snmp readSnmp(std::string_view text) {
  const Node root = readJson(text);
  return readSnmp(Reader(root, "snmp."));
}

Snmp readSnmp(const Reader& json) {
  Snmp out{json.address("listen", "127.0.0.1:1161"), json.text("community", "public")};
  if (out.listen.rfind("127.", 0) != 0) json.fail("listen", "not a loopback address");
  // It becomes a word of the library's own configuration.
  for (const char c : out.community)
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_')
      json.fail("community", "not made of letters, digits, '-' and '_'");
  if (out.community.empty()) json.fail("community", "empty");
  return out;
}

}  // namespace topazweir::config
