#include <set>
#include <sstream>

#include "config_sync_p.h"

namespace toucanridge {

std::string
hostListText(const HostList& aHosts)
{
  std::ostringstream out;
  for (const Host& host : aHosts.hosts) {
    out << host.name << ' ' << host.dataCentre << ' ' << host.address << ' '
        << host.httpPort << ' ' << host.peerPort << ' '
        << (host.state == HostState::Live ? "live" : "leaving") << '\n';
  }
  return out.str();
}

std::optional<HostList>
parseHostListText(std::uint64_t aRevision, const std::string& aText)
{
  HostList list;
  list.revision = aRevision;
  std::set<std::string> names;
  std::istringstream in(aText);
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    Host host;
    std::string state;
    std::string rest;
    if (!(fields >> host.name >> host.dataCentre >> host.address >>
          host.httpPort >> host.peerPort >> state) ||
        (fields >> rest) || (state != "live" && state != "leaving") ||
        !names.insert(host.name).second || names.size() > kMaxElements) {
      return std::nullopt;
    }
    host.state = state == "live" ? HostState::Live : HostState::Leaving;
    list.hosts.push_back(std::move(host));
  }
  // An empty list would take the whole system out of service at once; no
  // operator asks for that, but a broken platform may serve it.
  if (list.hosts.empty()) {
    return std::nullopt;
  }
  return list;
}

} // namespace toucanridge
