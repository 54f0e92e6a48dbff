#ifndef TOUCANRIDGE_STATUS_TABLE_P_H
#define TOUCANRIDGE_STATUS_TABLE_P_H

/// Formats the JSON answers of nodes as tables for operators.

#include <string>
#include <vector>

namespace toucanridge {

/// A listed host.
struct HostAddress
{
  std::string name;
  std::string address; ///< "address:port" for callers
};

/// @param[in] aStatus status of a node, JSON text
/// @returns the hosts that the status lists, none when the text is malformed
std::vector<HostAddress>
listedHosts(const std::string& aStatus);

/// @param[in] aStatuses status of one or more nodes, JSON text
/// @param[in] aFailures "host: reason" of the nodes that didn't answer
/// @returns the tables of the `status` command
std::string
statusTable(const std::vector<std::string>& aStatuses,
            const std::vector<std::string>& aFailures);

/// @param[in] aText answer of /v1/rules or /v1/explain, JSON text
/// @returns its rules, one a line, below the other members
std::string
rulesTable(const std::string& aText);

} // namespace toucanridge

#endif // TOUCANRIDGE_STATUS_TABLE_P_H
