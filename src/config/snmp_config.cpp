// Reading of the SNMP agent's configuration.
#include "config/snmp_config.hpp"

#include <cctype>

#include "config/reader.hpp"

namespace topazweir::config {

SnmpConfig readSnmp(std::string_view text) {
  const Node root = readJson(text);
  return readSnmp(Reader(root, "snmp."));
}

SnmpConfig readSnmp(const Reader& reader) {
  SnmpConfig out{reader.address("listen", "127.0.0.1:1161"), reader.text("community", "public")};
  if (out.listen.rfind("127.", 0) != 0) reader.fail("listen", "not a loopback address");
  // The community is inserted into a line of net-snmp's own configuration, so it must be a single token.
  for (const char c : out.community)
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_')
      reader.fail("community", "not made of letters, digits, '-' and '_'");
  if (out.community.empty()) reader.fail("community", "empty");
  return out;
}

}  // namespace topazweir::config
