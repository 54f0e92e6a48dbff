#include "node_p.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "answer_memory_p.h"
#include "backend_http_p.h"
#include "caller_http_p.h"
#include "control_plane_p.h"
#include "log_p.h"
#include "peer_link_p.h"
#include "platform_http_p.h"
#include "process_usage_p.h"
#include "quarantine_p.h"
#include "query_engine_p.h"
#include "rights_p.h"
#include "slot_table_p.h"
#include "status_p.h"
#include "tickets_p.h"
#include "warmth_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kSweepInterval{ 20 };
constexpr milliseconds kRightsTickInterval{ 50 };
/// Answers kept for /v1/explain: about two minutes' worth at a node's share of
/// the load in section 1.6 of docs/design.md. An entry takes about 300 bytes,
/// near 5 MB in all, of the 128 MB allowed.
constexpr std::size_t kMaxRecentAnswers = 16384;
/// Held for callers and peers together, see BufferUse: twelve queries of the
/// largest size and the copies that they lead to.
constexpr std::size_t kClientBytes = std::size_t(64) << 20U;
/// Connections of peers; of 559, some have two while they replace one.
constexpr std::size_t kMaxPeers = 2048;
/// Longest wait for running queries at shutdown; equals the longest deadline
/// that a class rule may set, kMaxDeadline in rules_parse.cpp.
constexpr std::chrono::seconds kMaxDrainTime{ 60 };

std::uint64_t
randomSecret()
{
  std::random_device random;
  return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

std::uint64_t
makeIncarnation()
{
  // Incarnations of one host must increase with each start, so the Unix time
  // is in the high bits. The random low bits distinguish starts within one
  // millisecond.
  std::random_device random;
  return (static_cast<std::uint64_t>(unixTime().count()) << 12U) |
         (random() & 0xfffU);
}

} // namespace

struct Node::Impl final
  : public CallerApiI
  , public SubRequestSenderI
  , public TicketNodeI
{
  explicit Impl(NodeSettings aSettings);

  std::error_code init();
  void shutdown();

  // CallerApiI
  AddressAnswer addresses(const std::string& aDataCentre) override;
  void query(QueryRequest aRequest, CallerApiI::Done aDone) override;
  bool acceptsQueries() override;
  std::vector<std::string> tickets(std::uint32_t aCount) override;
  std::string statusJson() override;
  std::string metricsText() override;
  std::string explainJson(const std::string& aRequestId) override;
  std::string classJson(const std::string& aClass) override;
  std::string rulesJson() override;

  // SubRequestSenderI
  void send(const Host& aHost, SubBatch aBatch) override;
  void cancel(const Host& aHost, const Cancel& aCancel) override;

  // TicketNodeI
  void run(QueryRequest aRequest, TicketNodeI::Done aDone) override;
  bool forward(const std::string& aHost, TicketForward aForward) override;
  Duration deadlineOf(const QueryRequest& aRequest) const override;

  void onPeerRequest(const std::string& aHost,
                     MessageType aType,
                     const std::string& aPayload,
                     const PeerLinks::Reply& aReply);
  void onPeerReply(const std::string& aHost,
                   MessageType aType,
                   const std::string& aPayload);
  void submitBatch(const std::string& aOrigin,
                   SubBatch aBatch,
                   const std::function<void(SubReply)>& aDone);
  void sendWarmthMessages();
  bool isIdle() const;
  void sweepPeriodically();
  void tickRightsPeriodically();

  NodeSettings settings;
  std::uint64_t incarnation = makeIncarnation();
  SystemClock clock;
  ViewHolder views;

  asio::io_context controlContext;
  asio::io_context trafficContext;
  asio::executor_work_guard<asio::io_context::executor_type> controlWork;
  asio::executor_work_guard<asio::io_context::executor_type> trafficWork;
  asio::steady_timer sweepTimer;
  asio::steady_timer rightsTimer;
  std::vector<std::thread> threads;

  const std::shared_ptr<BufferBudget> clientBudget =
    std::make_shared<BufferBudget>(kClientBytes);
  PeerLinks peerLinks;
  PlatformHttp platformHttp;
  ControlPlane controlPlane;
  SendingRights rights;
  Warmth warmth;
  BackendHttp backendHttp;
  SlotTable slotTable;
  SlotChooser chooser;
  Quarantine quarantine;
  QueryEngine engine;
  Tickets ticketRecords;
  AnswerHistory answerHistory{ kMaxRecentAnswers };
  CallerHttp callerHttp;
  std::atomic<bool> draining{ false };
  std::atomic<bool> stopping{ false };
};

Node::Impl::Impl(NodeSettings aSettings)
  : settings(std::move(aSettings))
  , controlWork(asio::make_work_guard(controlContext))
  , trafficWork(asio::make_work_guard(trafficContext))
  , sweepTimer(trafficContext)
  , rightsTimer(controlContext)
  , peerLinks(trafficContext,
              { settings.host, incarnation },
              { clientBudget, kMaxPeers })
  , platformHttp(settings.platform)
  , controlPlane(
      controlContext,
      clock,
      settings,
      incarnation,
      platformHttp,
      peerLinks,
      views,
      [this] { return static_cast<std::uint32_t>(engine.running()); })
  , rights(clock, settings.host)
  , warmth(clock, views, rights, settings.host)
  , backendHttp(settings.httpThreads)
  , slotTable(clock, views, rights, warmth, backendHttp, settings.host)
  , chooser(
      incarnation,
      [this](const std::string& aHost) { return controlPlane.isAlive(aHost); })
  , quarantine(clock, &controlPlane.broadcast())
  , engine(trafficContext,
           clock,
           views,
           *this,
           chooser,
           settings.host,
           incarnation)
  , ticketRecords(clock, *this, settings.host, incarnation, randomSecret())
  , callerHttp(*this, clientBudget)
{
  engine.setQuarantine(&quarantine);
}

std::error_code
Node::Impl::init()
{
  PeerLinks::Handlers handlers;
  handlers.onRequest = [this](const std::string& aHost,
                              MessageType aType,
                              const std::string& aPayload,
                              const PeerLinks::Reply& aReply) {
    onPeerRequest(aHost, aType, aPayload, aReply);
  };
  handlers.onReply = [this](const std::string& aHost,
                            MessageType aType,
                            const std::string& aPayload) {
    onPeerReply(aHost, aType, aPayload);
  };
  handlers.onLost = [this](const std::string& aHost,
                           const std::vector<std::uint64_t>& aUnsent) {
    engine.onLinkLost(aHost, aUnsent);
    controlPlane.onLinkLost(aHost);
    ticketRecords.onLinkLost(aHost);
  };
  std::error_code error =
    peerLinks.init(settings.address, settings.peerPort, std::move(handlers));
  if (error) {
    return error;
  }
  controlPlane.setProbeAckListener(&rights);
  controlPlane.setSettledViewSource([this] { return slotTable.settled(); });
  controlPlane.setLeasedViewSource([this] { return rights.leased(); });
  controlPlane.setOnView([this](const ViewPtr& aView) {
    rights.adopt(aView);
    quarantine.setLifts(aView->rules->quarantineLifts);
  });
  controlPlane.setOnMembers(
    [this](std::vector<std::string> aHosts, bool aInformed) {
      quarantine.setHosts(settings.host, std::move(aHosts), aInformed);
    });
  error = controlPlane.init();
  if (error) {
    return error;
  }
  threads.emplace_back([this] { controlContext.run(); });
  for (std::uint32_t i = 0; i < settings.trafficThreads; ++i) {
    threads.emplace_back([this] { trafficContext.run(); });
  }
  asio::post(controlContext, [this] { tickRightsPeriodically(); });
  asio::post(trafficContext, [this] { sweepPeriodically(); });
  error = callerHttp.init(settings.address, settings.httpPort);
  if (error) {
    return error;
  }
  logWrite(LogLevel::Info,
           LogLine("started")
             .add("host", settings.host)
             .add("data_centre", settings.dataCentre)
             .add("incarnation", incarnation)
             .add("version", version()));
  return {};
}

/// @returns true when no query runs, no sub-request waits or runs, no forwarded
///          ticket waits for its answer and no reply to a peer is unsent
bool
Node::Impl::isIdle() const
{
  if (engine.running() > 0 || slotTable.inFlight() > 0 ||
      peerLinks.pendingReplies() > 0 || ticketRecords.counters().pending > 0) {
    return false;
  }
  const auto queues = slotTable.status();
  return std::all_of(
    queues.begin(), queues.end(), [](const ServerQueueStatus& aQueue) {
      return aQueue.queued == 0;
    });
}

void
Node::Impl::shutdown()
{
  logWrite(LogLevel::Info, LogLine("draining").add("host", settings.host));
  // Announces the shutdown first, so that peers stop listing this host for
  // callers and sending it sub-requests. Until the announcement has reached
  // them, their sub-requests are still served. Callers may use this address
  // until the list that named it expires; they get a refusal with other
  // addresses instead of a broken connection.
  draining = true;
  controlPlane.leave();
  engine.drain();
  const TimePoint announcedBy = clock.now() + controlPlane.leaveTime();
  const TimePoint limit = clock.now() + kMaxDrainTime;
  while ((clock.now() < announcedBy || !isIdle()) && clock.now() < limit) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  stopping = true;
  callerHttp.shutdown();
  peerLinks.shutdown();
  asio::post(controlContext, [this] { rightsTimer.cancel(); });
  asio::post(trafficContext, [this] { sweepTimer.cancel(); });
  controlWork.reset();
  trafficWork.reset();
  controlContext.stop();
  trafficContext.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
  controlPlane.shutdown();
  logWrite(LogLevel::Info, LogLine("stopped").add("host", settings.host));
}

AddressAnswer
Node::Impl::addresses(const std::string& aDataCentre)
{
  return controlPlane.addresses(aDataCentre);
}

void
Node::Impl::query(QueryRequest aRequest, CallerApiI::Done aDone)
{
  // A request with a ticket is submitted through the ticket's record even when
  // the class is idempotent in this node's view: the view may be older than the
  // rule that makes the class non-idempotent.
  if (aRequest.ticket.empty()) {
    engine.submit(std::move(aRequest), std::move(aDone));
  } else {
    ticketRecords.submit(std::move(aRequest), std::move(aDone));
  }
}

std::vector<std::string>
Node::Impl::tickets(std::uint32_t aCount)
{
  return ticketRecords.issue(aCount);
}

void
Node::Impl::run(QueryRequest aRequest, TicketNodeI::Done aDone)
{
  const std::string queryClass = aRequest.queryClass;
  engine.submit(
    std::move(aRequest),
    [this, queryClass, start = clock.now(), done = std::move(aDone)](
      const QueryAnswer& aAnswer) {
      answerHistory.add(queryClass,
                        aAnswer,
                        std::chrono::duration_cast<std::chrono::microseconds>(
                          clock.now() - start));
      done(aAnswer);
    });
}

bool
Node::Impl::acceptsQueries()
{
  const ViewPtr view = views.get();
  const Host* self = view ? view->findHost(settings.host) : nullptr;
  return !draining && view && (self == nullptr || view->inService(*self));
}

bool
Node::Impl::forward(const std::string& aHost, TicketForward aForward)
{
  const ViewPtr view = views.get();
  const Host* const host = view ? view->findHost(aHost) : nullptr;
  if (host == nullptr) {
    return false;
  }
  peerLinks.send(host->name,
                 host->address,
                 host->peerPort,
                 MessageType::TicketForward,
                 encode(std::move(aForward)),
                 0);
  return true;
}

Duration
Node::Impl::deadlineOf(const QueryRequest& aRequest) const
{
  const ViewPtr view = views.get();
  milliseconds allowed = ClassRule().deadline;
  if (view) {
    const auto found = view->rules->classes.find(aRequest.queryClass);
    if (found != view->rules->classes.end()) {
      allowed = found->second.deadline;
    }
  }
  return aRequest.deadline.count() > 0 ? std::min(allowed, aRequest.deadline)
                                       : allowed;
}

std::string
Node::Impl::statusJson()
{
  return renderStatus({ settings.host,
                        settings.dataCentre,
                        incarnation,
                        controlPlane.status(),
                        quarantine.status() },
                      views.get(),
                      slotTable.status(),
                      engine.counters());
}

std::string
Node::Impl::metricsText()
{
  return renderMetrics({ settings.host,
                         settings.dataCentre,
                         incarnation,
                         controlPlane.status(),
                         {} },
                       views.get(),
                       slotTable.status(),
                       engine.counters(),
                       answerHistory.summary(),
                       processUsage());
}

std::string
Node::Impl::explainJson(const std::string& aRequestId)
{
  const auto found = answerHistory.find(aRequestId);
  return found ? renderExplanation(*found) : std::string();
}

std::string
Node::Impl::classJson(const std::string& aClass)
{
  const ViewPtr view = views.get();
  if (!view || view->rules->classes.count(aClass) == 0) {
    return {};
  }
  return renderClassRules(*view, aClass);
}

std::string
Node::Impl::rulesJson()
{
  return renderRules(views.get());
}

void
Node::Impl::submitBatch(const std::string& aOrigin,
                        SubBatch aBatch,
                        const std::function<void(SubReply)>& aDone)
{
  const TimePoint deadline =
    clock.now() + std::chrono::microseconds(aBatch.remainingUs);
  const auto batch = std::make_shared<const SubBatch>(std::move(aBatch));
  if (quarantine.blocks(batch->fingerprint)) {
    // The entry node may not have received the strikes yet.
    for (const SubItem& item : batch->items) {
      SubReply reply;
      reply.query = batch->query;
      reply.part = item.part;
      reply.attempt = item.attempt;
      reply.error = static_cast<std::int32_t>(Errc::Quarantined);
      aDone(std::move(reply));
    }
    return;
  }
  for (std::size_t i = 0; i < batch->items.size(); ++i) {
    slotTable.submit({ aOrigin, batch, i, deadline }, aDone);
  }
}

void
Node::Impl::send(const Host& aHost, SubBatch aBatch)
{
  if (aHost.name == settings.host) {
    asio::post(trafficContext, [this, batch = std::move(aBatch)]() mutable {
      submitBatch(
        settings.host, std::move(batch), [this](const SubReply& aReply) {
          engine.onReply(settings.host, aReply);
        });
    });
    return;
  }
  const std::uint64_t tag = aBatch.query;
  peerLinks.send(aHost.name,
                 aHost.address,
                 aHost.peerPort,
                 MessageType::SubBatch,
                 encode(std::move(aBatch)),
                 tag);
}

void
Node::Impl::cancel(const Host& aHost, const Cancel& aCancel)
{
  if (aHost.name == settings.host) {
    slotTable.cancel(settings.host, aCancel);
    return;
  }
  peerLinks.send(aHost.name,
                 aHost.address,
                 aHost.peerPort,
                 MessageType::Cancel,
                 encode(aCancel),
                 0);
}

void
Node::Impl::onPeerRequest(const std::string& aHost,
                          MessageType aType,
                          const std::string& aPayload,
                          const PeerLinks::Reply& aReply)
{
  if (aType == MessageType::SubBatch) {
    if (auto batch = decode<SubBatch>(aPayload)) {
      submitBatch(aHost, std::move(*batch), [aReply](SubReply aSubReply) {
        aReply(MessageType::SubReply, encode(std::move(aSubReply)));
      });
      return;
    }
  } else if (aType == MessageType::Cancel) {
    if (const auto cancelled = decode<Cancel>(aPayload)) {
      slotTable.cancel(aHost, *cancelled);
      return;
    }
  } else if (aType == MessageType::WarmthReport) {
    if (const auto report = decode<WarmthReport>(aPayload)) {
      warmth.onReport(aHost, *report);
      return;
    }
  } else if (aType == MessageType::WarmthGrant) {
    if (const auto grant = decode<WarmthGrant>(aPayload)) {
      warmth.onGrant(aHost, *grant);
      return;
    }
  } else if (aType == MessageType::ConfigFetch) {
    controlPlane.onConfigRequest(aPayload, aReply);
    return;
  }
  if (aType == MessageType::TicketForward) {
    if (const auto forwarded = decode<TicketForward>(aPayload)) {
      ticketRecords.onForward(*forwarded, [aReply](TicketReply aAnswer) {
        std::string frame = encode(aAnswer);
        if (frame.size() > kMaxFrameBytes) {
          aAnswer.answer = {};
          aAnswer.answer.outcome = Outcome::Unknown;
          aAnswer.answer.reason = make_error_code(Errc::TooLarge).message();
          frame = encode(std::move(aAnswer));
        }
        aReply(MessageType::TicketReply, std::move(frame));
      });
      return;
    }
  }
  logWrite(LogLevel::Warn,
           LogLine("peer-message-dropped")
             .add("peer", aHost)
             .add("type", static_cast<int>(aType))
             .add("bytes", aPayload.size()));
}

void
Node::Impl::onPeerReply(const std::string& aHost,
                        MessageType aType,
                        const std::string& aPayload)
{
  if (aType == MessageType::SubReply) {
    if (const auto reply = decode<SubReply>(aPayload)) {
      engine.onReply(aHost, *reply);
      return;
    }
  } else if (aType == MessageType::ConfigDelta ||
             aType == MessageType::ConfigWhole) {
    controlPlane.onConfigReply(aHost, aType, aPayload);
    return;
  } else if (aType == MessageType::TicketReply) {
    if (auto reply = decode<TicketReply>(aPayload)) {
      ticketRecords.onReply(aHost, std::move(*reply));
      return;
    }
  }
  logWrite(LogLevel::Warn,
           LogLine("peer-message-dropped")
             .add("peer", aHost)
             .add("type", static_cast<int>(aType))
             .add("bytes", aPayload.size()));
}

void
Node::Impl::tickRightsPeriodically()
{
  rights.tick();
  controlPlane.setFastProbing(rights.needsPeerAcks());
  rightsTimer.expires_after(kRightsTickInterval);
  rightsTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !stopping) {
      tickRightsPeriodically();
    }
  });
}

void
Node::Impl::sendWarmthMessages()
{
  const ViewPtr view = views.get();
  for (WarmthMessage& message : warmth.tick()) {
    const Host* const host = view->findHost(message.host);
    if (host == nullptr) {
      continue;
    }
    const bool report = std::holds_alternative<WarmthReport>(message.body);
    peerLinks.send(
      host->name,
      host->address,
      host->peerPort,
      report ? MessageType::WarmthReport : MessageType::WarmthGrant,
      std::visit([](auto& aBody) { return encode(aBody); }, message.body),
      0);
  }
}

void
Node::Impl::sweepPeriodically()
{
  sendWarmthMessages();
  slotTable.sweep();
  ticketRecords.sweep();
  sweepTimer.expires_after(kSweepInterval);
  sweepTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !stopping) {
      sweepPeriodically();
    }
  });
}

Node::Node(NodeSettings aSettings)
  : m_impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Node::~Node() = default;

std::error_code
Node::init()
{
  return m_impl->init();
}

void
Node::shutdown()
{
  m_impl->shutdown();
}

} // namespace toucanridge
