#include "entry_node_p.h"

#include <boost/asio/post.hpp>

#include "log_p.h"
#include "run_handlers_p.h"

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

/// Time between announcing that this host leaves and closing idle connections:
/// callers cache addresses for 2 s, and before that the announcement has to
/// reach the other hosts, whose directories still list this one.
constexpr milliseconds kIdleCloseDelay{ 2600 };
/// Reserve at the end of the grace period, as timers fire late on a busy core.
constexpr milliseconds kGraceMargin{ 700 };
/// Part of kGraceMargin in which the last answers are written.
constexpr milliseconds kLastAnswersTime{ 200 };
/// Interval of checks whether requests still run.
constexpr milliseconds kPollInterval{ 50 };

/// Requests run on many servers at once here, and a server that fails may close
/// any connection, so more losses are needed than behind sending rights.
constexpr QuarantinePolicy kQuarantinePolicy{ 3, 2 };

TrafficSettings
trafficSettings(const EntrySettings& aSettings,
                std::uint64_t aSeed,
                std::shared_ptr<BufferBudget> aClientBudget)
{
  TrafficSettings settings;
  settings.host = aSettings.host;
  settings.address = aSettings.address;
  settings.port = aSettings.callerPort;
  settings.relayPort = static_cast<std::uint16_t>(aSettings.peerPort + 1);
  settings.forwardPort = forwardPort(aSettings.peerPort);
  settings.metricsPort = aSettings.metricsPort;
  settings.dataCentre = aSettings.dataCentre;
  settings.budget = aSettings.budget;
  settings.seed = aSeed;
  settings.limits = divideClientLimits(aSettings.resources);
  settings.clientBudget = std::move(aClientBudget);
  return settings;
}

std::uint64_t
newIncarnation()
{
  return static_cast<std::uint64_t>(unixTime().count());
}

} // namespace

EntryNode::EntryNode(const ClockI& aClock,
                     const EntrySettings& aSettings,
                     const Adapter& aAdapter)
  : m_clock(aClock)
  , m_settings(aSettings)
  , m_incarnation(newIncarnation())
  , m_clientBudget(std::make_shared<BufferBudget>(
      divideClientLimits(aSettings.resources).heldBytes))
  , m_broadcaster(aSettings.host, m_incarnation)
  , m_quarantine(aClock, &m_broadcaster, kQuarantinePolicy)
  , m_source(aAdapter.makeSource(m_controlContext))
  , m_traffic(m_trafficContext,
              aClock,
              aAdapter.traffic,
              trafficSettings(aSettings, m_incarnation, m_clientBudget),
              m_quarantine)
  , m_control(
      m_controlContext,
      aClock,
      aSettings,
      m_incarnation,
      m_broadcaster,
      m_quarantine,
      m_clientBudget,
      { *m_source, aAdapter.decoder, aAdapter.directory },
      [this](const TrafficView& aView) {
        boost::asio::post(m_trafficContext,
                          [this, aView] { m_traffic.setView(aView); });
      },
      [this] { return m_traffic.load(); })
  , m_trafficWork(m_trafficContext.get_executor())
  , m_stopStepTimer(m_controlContext)
{
}

EntryNode::~EntryNode() = default;

std::error_code
EntryNode::init()
{
  std::error_code error = m_traffic.init();
  if (!error) {
    error = m_control.init();
  }
  if (error) {
    return error;
  }
  m_controlThread =
    std::thread([this] { runHandlers(m_controlContext, "control"); });
  m_trafficThread =
    std::thread([this] { runHandlers(m_trafficContext, "traffic"); });
  logWrite(LogLevel::Info,
           LogLine("start")
             .add("host", m_settings.host)
             .add("data_centre", m_settings.dataCentre)
             .add("address", m_settings.address)
             .add("caller_port", m_settings.callerPort)
             .add("peer_port", m_settings.peerPort)
             .add("seeds", m_settings.seeds.size()));
  return {};
}

void
EntryNode::reload(const EntrySettings& aSettings)
{
  boost::asio::post(m_controlContext,
                    [this, aSettings] { m_control.reload(aSettings); });
}

// The steps of a shutdown run on a timer of the control thread; shutdown()
// blocks until that thread ends.

void
EntryNode::scheduleStopStep(Duration aDelay, void (EntryNode::*aStep)())
{
  m_stopStepTimer.expires_after(aDelay);
  m_stopStepTimer.async_wait(
    [this, aStep](const boost::system::error_code& aError) {
      if (!aError) {
        (this->*aStep)();
      }
    });
}

void
EntryNode::closeIdleConnections()
{
  boost::asio::post(m_trafficContext,
                    [this] { m_traffic.server().closeIdle(); });
  pollRunningRequests();
}

void
EntryNode::pollRunningRequests()
{
  boost::asio::post(m_trafficContext, [this] {
    const std::size_t running = m_traffic.running();
    if (running == 0) {
      // A request that is read from now on would get no answer before the
      // process ends.
      m_traffic.server().shutdown();
    }
    boost::asio::post(m_controlContext,
                      [this, running] { onRunningCount(running); });
  });
}

void
EntryNode::onRunningCount(std::size_t aRunning)
{
  if (aRunning > 0 && m_clock.now() < m_stopBy) {
    scheduleStopStep(kPollInterval, &EntryNode::pollRunningRequests);
    return;
  }
  logWrite(LogLevel::Info,
           LogLine("stop").add("phase", "ended").add("running", aRunning));
  if (aRunning > 0) {
    answerRemaining();
  } else {
    finishStop();
  }
}

/// Answers requests that are still running at the end of the grace period with
/// 504, as servers may have run them.
void
EntryNode::answerRemaining()
{
  boost::asio::post(m_trafficContext, [this] {
    m_traffic.server().stopAccepting();
    m_traffic.server().answerRunning(
      makeResponse(504, "the host stops, the outcome is unknown\n"));
  });
  scheduleStopStep(kLastAnswersTime, &EntryNode::finishStop);
}

void
EntryNode::finishStop()
{
  boost::asio::post(m_trafficContext, [this] {
    m_traffic.server().shutdown();
    m_controlContext.stop();
  });
}

void
EntryNode::shutdown()
{
  boost::asio::post(m_controlContext, [this] {
    logWrite(LogLevel::Info, LogLine("stop").add("phase", "leaving"));
    m_stopBy = m_clock.now() + m_settings.grace - kGraceMargin;
    m_control.leave();
    boost::asio::post(m_trafficContext,
                      [this, answerBy = m_stopBy - kPollInterval] {
                        m_traffic.leave(answerBy);
                      });
    scheduleStopStep(
      std::min<Duration>(kIdleCloseDelay, m_stopBy - m_clock.now()),
      &EntryNode::closeIdleConnections);
  });
  m_controlThread.join();
  m_trafficContext.stop();
  m_trafficThread.join();
  m_control.shutdown();
  m_traffic.shutdown();
  logWrite(LogLevel::Info, LogLine("stopped"));
}

} // namespace toucanridge
