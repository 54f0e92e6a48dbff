#ifndef TOUCANRIDGE_SERVER_REACH_P_H
#define TOUCANRIDGE_SERVER_REACH_P_H

/// Detects that this host has no path to the backend servers. Answers the load
/// of a network fault between one host and all servers, which single servers
/// that fail must be told from.

#include <set>
#include <string>

#include "clock_p.h"

namespace toucanridge {

class ServerReach
{
public:
  /// Servers that must give no sign of life together. Single servers and the
  /// replicas of a shard fail more often than the host's network.
  static constexpr std::size_t kMinSilentServers = 4;
  /// No server has given a sign of life for this long.
  static constexpr std::chrono::milliseconds kSilence{ 250 };

  explicit ServerReach(const ClockI& aClock);

  /// A server answered or accepted a connection.
  void onContact();
  /// A server didn't accept a connection, closed it, or is overdue.
  void onNoAnswer(const std::string& aServer);
  /// @returns true when the path to the servers is lost
  bool isLost() const;

private:
  const ClockI& m_clock;
  std::set<std::string> m_silent; ///< servers without an answer since contact
  TimePoint m_lastContact;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_SERVER_REACH_P_H
