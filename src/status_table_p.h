#ifndef TOUCANRIDGE_STATUS_TABLE_P_H
#define TOUCANRIDGE_STATUS_TABLE_P_H

/// Turns JSON answers of nodes into text for operators.

#include <string>
#include <vector>

namespace toucanridge {

struct HostAddress
{
  std::string name;
  std::string address; ///< "address:port" for callers
};

/// @param[in] aStatus a node's status, JSON text
/// @returns the hosts that it lists, none when the text is malformed
std::vector<HostAddress>
listedHosts(const std::string& aStatus);

/// @param[in] aStatuses status of one or more nodes, JSON text
/// @param[in] aSilent "host: reason" of the nodes that gave none
std::string
statusTable(const std::vector<std::string>& aStatuses,
            const std::vector<std::string>& aSilent);

/// @param[in] aText answer of /v1/rules or /v1/explain, JSON text
std::string
rulesTable(const std::string& aText);

} // namespace toucanridge

#endif // TOUCANRIDGE_STATUS_TABLE_P_H
