#include "node_p.h"

#include <atomic>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "answer_memory_p.h"
#include "backend_http_p.h"
#include "caller_http_p.h"
#include "log_p.h"
#include "peer_link_p.h"
#include "platform_http_p.h"
#include "process_usage_p.h"
#include "query_engine_p.h"
#include "slot_table_p.h"
#include "status_p.h"
#include "threads_http_p.h"

namespace toucanridge {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kPlatformPoll{ 500 };
constexpr milliseconds kSweepEvery{ 20 };
constexpr milliseconds kAddressValidity{ 2000 };
/// About two minutes of a node's share of the load in design 1.6; an entry
/// takes some 300 bytes, so this stays near 5 MB of the 128 MB allowed.
constexpr std::size_t kRememberedAnswers = 16384;
/// Longest time that a shutdown waits for running queries; longer than any
/// deadline of a class would need.
constexpr std::chrono::seconds kDrainLimit{ 60 };

class HolderRights final : public RightsI
{
public:
  bool mayUse(const SlotKey&) const override { return true; }
};

class NoWarmth final : public WarmthI
{
public:
  bool mayUse(const SlotKey&, std::uint32_t) const override { return true; }
  void onReply(const SlotKey&, const BackendReply&) override {}
};

std::uint64_t
makeIncarnation()
{
  // Starts of one host must be ordered, so the time leads; the random part
  // tells two starts within a millisecond apart.
  std::random_device random;
  return (static_cast<std::uint64_t>(unixTime().count()) << 12U) |
         (random() & 0xfffU);
}

} // namespace

struct Node::Impl final
  : public CallerApiI
  , public SubSenderI
{
  explicit Impl(NodeSettings aSettings);

  std::error_code init();
  void shutdown();

  // CallerApiI
  AddressAnswer addresses(const std::string& aDataCentre) override;
  void query(QueryRequest aRequest, Done aDone) override;
  std::string statusJson() override;
  std::string metricsText() override;
  std::string explainJson(const std::string& aRequestId) override;
  std::string classJson(const std::string& aClass) override;
  std::string rulesJson() override;

  // SubSenderI
  void send(const Host& aHost, SubBatch aBatch) override;
  void cancel(const Host& aHost, std::uint64_t aQuery) override;

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
  void pollPlatform();
  void applyRules(const PublishedRules& aPublished);
  void rebuildView();
  void sweepLater();

  NodeSettings settings;
  std::uint64_t incarnation = makeIncarnation();
  SystemClock clock;
  ViewHolder views;

  asio::io_context control;
  asio::io_context traffic;
  asio::executor_work_guard<asio::io_context::executor_type> controlWork;
  asio::executor_work_guard<asio::io_context::executor_type> trafficWork;
  asio::steady_timer pollTimer;
  asio::steady_timer sweepTimer;
  std::vector<std::thread> threads;

  HolderRights rights;
  NoWarmth warmth;
  BackendHttp backend;
  SlotTable slots;
  SlotChooser chooser;
  QueryEngine engine;
  AnswerMemory answers{ kRememberedAnswers };
  PeerLinks links;
  PlatformHttp platform;
  CallerHttp callers;

  // Owned by the control thread.
  std::uint64_t rulesRevision = 0;
  std::shared_ptr<const RuleSet> rules;
  HostList hosts;
  std::uint64_t refusedRevision = 0;
  std::atomic<bool> stopping{ false };
};

Node::Impl::Impl(NodeSettings aSettings)
  : settings(std::move(aSettings))
  , controlWork(asio::make_work_guard(control))
  , trafficWork(asio::make_work_guard(traffic))
  , pollTimer(control)
  , sweepTimer(traffic)
  , backend(traffic)
  , slots(clock, views, rights, warmth, backend, settings.host)
  , chooser(incarnation, [](const std::string&) { return true; })
  , engine(traffic, clock, views, *this, chooser, settings.host, incarnation)
  , links(traffic, { settings.host, incarnation })
  , platform(settings.platform)
  , callers(*this)
{
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
  };
  std::error_code error =
    links.init(settings.address, settings.peerPort, std::move(handlers));
  if (error) {
    return error;
  }
  threads.emplace_back([this] { control.run(); });
  for (std::uint32_t i = 0; i < settings.trafficThreads; ++i) {
    threads.emplace_back([this] { traffic.run(); });
  }
  asio::post(control, [this] { pollPlatform(); });
  asio::post(traffic, [this] { sweepLater(); });
  error = callers.init(settings.address, settings.httpPort);
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

void
Node::Impl::shutdown()
{
  logWrite(LogLevel::Info, LogLine("draining").add("host", settings.host));
  engine.drain();
  const TimePoint limit = clock.now() + kDrainLimit;
  while ((engine.running() > 0 || slots.inFlight() > 0) &&
         clock.now() < limit) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  stopping = true;
  callers.shutdown();
  links.shutdown();
  asio::post(control, [this] { pollTimer.cancel(); });
  asio::post(traffic, [this] { sweepTimer.cancel(); });
  controlWork.reset();
  trafficWork.reset();
  control.stop();
  traffic.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
  logWrite(LogLevel::Info, LogLine("stopped").add("host", settings.host));
}

AddressAnswer
Node::Impl::addresses(const std::string& aDataCentre)
{
  AddressAnswer answer;
  answer.validFor = kAddressValidity;
  const ViewPtr view = views.get();
  if (!view) {
    return answer;
  }
  answer.revision = view->id.rules;
  std::vector<CallerAddress> far;
  for (const Host& host : view->hosts.hosts) {
    if (!view->inService(host)) {
      continue;
    }
    auto& list = host.dataCentre == aDataCentre ? answer.addresses : far;
    list.push_back({ host.name, host.dataCentre, host.address, host.httpPort });
  }
  std::mt19937_64 random(
    incarnation ^
    static_cast<std::uint64_t>(clock.now().time_since_epoch().count()));
  std::shuffle(answer.addresses.begin(), answer.addresses.end(), random);
  std::shuffle(far.begin(), far.end(), random);
  answer.addresses.insert(answer.addresses.end(), far.begin(), far.end());
  return answer;
}

void
Node::Impl::query(QueryRequest aRequest, Done aDone)
{
  const std::string queryClass = aRequest.queryClass;
  engine.submit(
    std::move(aRequest),
    [this, queryClass, start = clock.now(), done = std::move(aDone)](
      const QueryAnswer& aAnswer) {
      answers.add(queryClass,
                  aAnswer,
                  std::chrono::duration_cast<std::chrono::microseconds>(
                    clock.now() - start));
      done(aAnswer);
    });
}

std::string
Node::Impl::statusJson()
{
  return renderStatus(
    { settings.host, settings.dataCentre, incarnation, refusedRevision },
    views.get(),
    slots.status(),
    engine.counters());
}

std::string
Node::Impl::metricsText()
{
  return renderMetrics(views.get(),
                       slots.status(),
                       engine.counters(),
                       answers.summary(),
                       processUsage());
}

std::string
Node::Impl::explainJson(const std::string& aRequestId)
{
  const auto found = answers.find(aRequestId);
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
    clock.now() + std::chrono::microseconds(aBatch.deadlineUs);
  const auto batch = std::make_shared<const SubBatch>(std::move(aBatch));
  for (std::size_t i = 0; i < batch->items.size(); ++i) {
    slots.submit({ aOrigin, batch, i, deadline }, aDone);
  }
}

void
Node::Impl::send(const Host& aHost, SubBatch aBatch)
{
  if (aHost.name == settings.host) {
    asio::post(traffic, [this, batch = std::move(aBatch)]() mutable {
      submitBatch(
        settings.host, std::move(batch), [this](const SubReply& aReply) {
          engine.onReply(settings.host, aReply);
        });
    });
    return;
  }
  const std::uint64_t tag = aBatch.query;
  links.send(aHost.name,
             aHost.address,
             aHost.peerPort,
             MessageType::SubBatch,
             encode(std::move(aBatch)),
             tag);
}

void
Node::Impl::cancel(const Host& aHost, std::uint64_t aQuery)
{
  if (aHost.name == settings.host) {
    slots.cancel(settings.host, aQuery);
    return;
  }
  links.send(aHost.name,
             aHost.address,
             aHost.peerPort,
             MessageType::Cancel,
             encode(Cancel{ aQuery }),
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
      slots.cancel(aHost, cancelled->query);
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
  }
  logWrite(LogLevel::Warn,
           LogLine("peer-message-dropped")
             .add("peer", aHost)
             .add("type", static_cast<int>(aType))
             .add("bytes", aPayload.size()));
}

void
Node::Impl::pollPlatform()
{
  platform.readRules(
    rulesRevision,
    milliseconds(0),
    [this](tl::expected<PublishedRules, std::error_code> aPublished) {
      asio::post(control, [this, published = std::move(aPublished)] {
        if (published) {
          applyRules(*published);
        } else {
          logWrite(LogLevel::Warn,
                   LogLine("platform-unreachable")
                     .addText("reason", published.error().message()));
        }
      });
    });
  platform.readHosts([this](tl::expected<HostList, std::error_code> aList) {
    asio::post(control, [this, list = std::move(aList)] {
      if (list && list->revision > hosts.revision) {
        hosts = *list;
        rebuildView();
      }
    });
  });
  pollTimer.expires_after(kPlatformPoll);
  pollTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !stopping) {
      pollPlatform();
    }
  });
}

void
Node::Impl::applyRules(const PublishedRules& aPublished)
{
  if (aPublished.revision <= rulesRevision ||
      aPublished.revision <= refusedRevision) {
    return;
  }
  const RulesResult parsed = parseRules(aPublished.text);
  if (!parsed.rules) {
    refusedRevision = aPublished.revision;
    const RuleFault& fault = parsed.faults.front();
    logWrite(LogLevel::Error,
             LogLine("rules-refused")
               .add("revision", aPublished.revision)
               .add("faults", parsed.faults.size())
               .add("line", fault.line)
               .add("column", fault.column)
               .addText("reason", fault.message));
    return;
  }
  rulesRevision = aPublished.revision;
  rules = parsed.rules;
  rebuildView();
}

void
Node::Impl::rebuildView()
{
  if (!rules || hosts.revision == 0) {
    return;
  }
  views.set(makeView(rulesRevision, rules, hosts));
  logWrite(
    LogLevel::Info,
    LogLine("view").add("rules", rulesRevision).add("hosts", hosts.revision));
}

void
Node::Impl::sweepLater()
{
  slots.sweep();
  sweepTimer.expires_after(kSweepEvery);
  sweepTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !stopping) {
      sweepLater();
    }
  });
}

Node::Node(NodeSettings aSettings)
{
  // cpprestsdk's pool can be sized only before its first use.
  initHttpThreads(aSettings.httpThreads);
  m_impl = std::make_unique<Impl>(std::move(aSettings));
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
