#ifndef TOUCANRIDGE_ENTRY_NODE_P_H
#define TOUCANRIDGE_ENTRY_NODE_P_H

/// A host that serves published routes. One thread runs control (membership,
/// items, directory), the other runs traffic (callers' queries and relays).

#include <functional>
#include <memory>
#include <system_error>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry_control_p.h"
#include "entry_settings_p.h"
#include "traffic_p.h"

namespace toucanridge {

class EntryNode
{
public:
  /// Creates the reader of published items, which runs on the given context,
  /// that of the control thread.
  using MakeSource =
    std::function<std::unique_ptr<PublishedSourceI>(boost::asio::io_context&)>;
  /// The platform's adapter; its references must outlive this object.
  struct Adapter
  {
    MakeSource makeSource;
    const PublishedDecoderI& decoder;
    const DirectoryProtocolI& directory;
    const TrafficProtocolI& traffic;
  };

  EntryNode(const ClockI& aClock,
            const EntrySettings& aSettings,
            const Adapter& aAdapter);
  ~EntryNode();

  /// Binds the sockets and starts the threads.
  /// @returns an error when an address can't be bound
  std::error_code init();
  /// Applies changed settings; see EntryControl::reload().
  void reload(const EntrySettings& aSettings);
  /// Leaves the fleet within the grace period and waits for the threads to end.
  /// Every request gets an answer; one that outlasts the period gets a 504.
  void shutdown();

private:
  using Guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  void scheduleStopStep(Duration aDelay, void (EntryNode::*aStep)());
  void closeIdleConnections();
  void pollRunningRequests();
  void onRunningCount(std::size_t aRunning);
  void answerRemaining();
  void finishStop();

  const ClockI& m_clock;
  EntrySettings m_settings;
  const std::uint64_t m_incarnation;
  const std::shared_ptr<BufferBudget> m_clientBudget;
  Broadcaster m_broadcaster;
  /// Outlives the contexts: their pending handlers own queries, which report
  /// losses when they are destroyed.
  Quarantine m_quarantine;
  boost::asio::io_context m_controlContext{ 1 };
  boost::asio::io_context m_trafficContext{ 1 };
  std::unique_ptr<PublishedSourceI> m_source;
  Traffic m_traffic;
  EntryControl m_control;
  Guard m_trafficWork;
  boost::asio::steady_timer m_stopStepTimer; ///< on the control thread
  TimePoint m_stopBy;
  std::thread m_controlThread;
  std::thread m_trafficThread;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_NODE_P_H
