#ifndef TOUCANRIDGE_NODE_P_H
#define TOUCANRIDGE_NODE_P_H

#include <memory>
#include <system_error>

#include "settings_p.h"

namespace toucanridge {

/// An entry host: creates all modules of the process and connects them.
class Node
{
public:
  explicit Node(NodeSettings aSettings);
  ~Node();

  /// Starts threads, listeners and reads of the platform.
  /// @returns an error when an address can't be bound
  std::error_code init();
  /// Refuses new queries, waits a limited time for running ones, and stops.
  void shutdown();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_NODE_P_H
