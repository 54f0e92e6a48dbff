#ifndef TOUCANRIDGE_NODE_P_H
#define TOUCANRIDGE_NODE_P_H

#include <memory>
#include <system_error>

#include "settings_p.h"

namespace toucanridge {

/// One entry host's process: wires all modules.
class Node
{
public:
  explicit Node(NodeSettings aSettings);
  ~Node();

  /// Starts threads, listeners and platform reads.
  std::error_code init();
  /// Refuses new queries, lets running ones end, stops.
  void shutdown();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_NODE_P_H
