#ifndef TOUCANRIDGE_ENTRY_SETTINGS_P_H
#define TOUCANRIDGE_ENTRY_SETTINGS_P_H

/// Settings of a host that serves published routes.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "client_limits_p.h"
#include "gossip_wire_p.h"
#include "log_p.h"
#include "shared_budget_p.h"

namespace toucanridge {

struct EntrySettings
{
  std::string host;
  std::string dataCentre;
  std::string address; ///< IPv4
  std::uint16_t callerPort = 0;
  std::uint16_t readinessPort = 0;
  std::uint16_t directoryPort = 0;
  std::uint16_t peerPort = 0;       ///< TCP and UDP; relays use the next port
  std::uint16_t metricsPort = 9464; ///< default port of OpenTelemetry's
                                    ///< Prometheus exporter
  std::uint32_t capacity = 1000;    ///< thousandths of a core
  HostResources resources;
  std::vector<PeerAddress> seeds;
  BudgetLimit budget;
  /// Grace period: time from SIGTERM until the process is killed.
  std::chrono::milliseconds grace{ 6000 };
  LogLevel logLevel = LogLevel::Info;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_SETTINGS_P_H
