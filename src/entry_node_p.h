#ifndef TOUCANRIDGE_ENTRY_NODE_P_H
#define TOUCANRIDGE_ENTRY_NODE_P_H

/// A host that serves published routes: a control thread and a traffic thread.

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
  /// Builds the reader of published items on the control thread's context.
  using MakeSource =
    std::function<std::unique_ptr<PublishedSourceI>(boost::asio::io_context&)>;
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
  /// Takes changed settings.
  void reload(const EntrySettings& aSettings);
  /// Leaves without cutting a request, within the grace time.
  void shutdown();

private:
  using Guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  void stopLater(Duration aTime, void (EntryNode::*aStep)());
  void closeIdle();
  void awaitRequests();
  void onRunning(std::size_t aRunning);
  void answerRest();
  void end();

  const ClockI& m_clock;
  EntrySettings m_settings;
  boost::asio::io_context m_controlContext{ 1 };
  boost::asio::io_context m_trafficContext{ 1 };
  std::unique_ptr<PublishedSourceI> m_source;
  Traffic m_traffic;
  EntryControl m_control;
  Guard m_trafficWork;
  boost::asio::steady_timer m_stopTimer; ///< on the control thread
  TimePoint m_stopBy;
  std::thread m_controlThread;
  std::thread m_trafficThread;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_ENTRY_NODE_P_H
