#include "dispatcher_p.h"

#include <algorithm>

#include <xxhash.h>

#include "log_p.h"

namespace toucanridge {
namespace {

/// Most failed attempts logged in a second: a server that is down fails every
/// attempt. The metrics still count failures that aren't logged.
constexpr std::uint32_t kMaxFailureLinesPerSecond = 40;
/// Most changes of servers' stated limits logged in a second.
constexpr std::uint32_t kMaxLimitLinesPerSecond = 20;

/// @returns the first aMaxServers servers: those of the scope's data centre
///          before the others, each group in the order of a hash of the id.
///          The order depends only on published data, so it is the same at
///          every host.
std::vector<ServerEntryPtr>
serversInScope(std::vector<ServerEntryPtr> aServers,
               const ServerScope& aScope,
               std::size_t aMaxServers)
{
  const auto rank = [&aScope](const ServerEntryPtr& aEntry) {
    const std::string& id = aEntry->server.id;
    return std::make_pair(aEntry->server.dataCentre !=
                            aScope.preferredDataCentre,
                          XXH3_64bits(id.data(), id.size()));
  };
  std::sort(aServers.begin(),
            aServers.end(),
            [&rank](const ServerEntryPtr& aOne, const ServerEntryPtr& aOther) {
              return rank(aOne) < rank(aOther);
            });
  aServers.resize(
    std::min(aServers.size(), std::max<std::size_t>(1, aMaxServers)));
  return aServers;
}

/// @returns true when the server sent a response
bool
hasResponse(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Good || aEnd == AttemptEnd::Failed ||
         aEnd == AttemptEnd::NotRun;
}

} // namespace

const char*
toString(AttemptEnd aEnd) noexcept
{
  constexpr const char* kNames[] = {
    "good", "failed", "lost", "not-run", "unreachable"
  };
  return kNames[static_cast<std::size_t>(aEnd)];
}

void
Attempt::cancel(Duration aTypical)
{
  if (!m_running) {
    return;
  }
  m_running = false;
  --m_entry->running;
  m_pendingCall->cancel();
  const TimePoint now = m_clock->now();
  const Duration waited = now - m_sentAt;
  const double ratio = aTypical > Duration(0)
                         ? static_cast<double>(waited.count()) /
                             static_cast<double>(aTypical.count())
                         : m_timing->latencyRatio(waited);
  m_entry->health.onCancelled(now, ratio);
  m_timing->onLatency(waited);
}

void
Attempt::reportOverdue()
{
  m_entry->health.onOverdue(m_clock->now());
  m_reach->onNoAnswer(m_entry->server.id);
}

void
Attempt::recordLatency(double aRatio)
{
  m_entry->health.onAnswer(m_clock->now(), aRatio);
}

Dispatcher::Dispatcher(const ClockI& aClock,
                       std::uint64_t aSeed,
                       const TrafficProtocolI& aProtocol,
                       ServerTable& aServers,
                       const BudgetLimit& aBudget)
  : m_clock(aClock)
  , m_random(aSeed)
  , m_protocol(aProtocol)
  , m_servers(aServers)
  , m_budgetLimit(aBudget)
  , m_started(aClock.now())
  , m_failureLogLimit(aClock, kMaxFailureLinesPerSecond)
  , m_limitLogLimit(aClock, kMaxLimitLinesPerSecond)
{
}

SharedBudget&
Dispatcher::budget(const std::string& aService)
{
  auto found = m_budgets.find(aService);
  if (found == m_budgets.end()) {
    found =
      m_budgets
        .emplace(aService, SharedBudget(m_clock, m_budgetLimit, m_started))
        .first;
    found->second.setSharingHosts(m_sharingHosts);
  }
  return found->second;
}

void
Dispatcher::setSharingHosts(std::size_t aSharingHosts)
{
  m_sharingHosts = aSharingHosts;
  for (auto& entry : m_budgets) {
    entry.second.setSharingHosts(aSharingHosts);
  }
}

ServerEntryPtr
Dispatcher::choose(const std::vector<ServerEntryPtr>& aServers,
                   const std::vector<std::string>& aTried)
{
  const TimePoint now = m_clock.now();
  std::vector<ServerOption> options;
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    const ServerEntry& entry = *aServers[i];
    const bool tried =
      std::find(aTried.begin(), aTried.end(), entry.server.id) != aTried.end();
    if (tried || !entry.takesRequests(now) || !entry.coldLimit.allows(now) ||
        !entry.statedLimit.allows(now)) {
      continue;
    }
    ServerOption option;
    option.index = i;
    option.slowness = entry.health.slowness(now);
    option.failures = entry.health.failures(now);
    option.avoided = entry.health.isAvoided(now);
    option.sameDataCentre = m_servers.isInSameDataCentre(entry.server);
    option.running = entry.running;
    option.slots = entry.server.slots;
    options.push_back(option);
  }
  const double uniform = std::uniform_real_distribution<double>()(m_random);
  const std::size_t best = chooseServer(options, uniform);
  return best == options.size() ? nullptr : aServers[options[best].index];
}

bool
Dispatcher::canReach(const Route& aRoute, const std::string& aService) const
{
  if (m_servers.reach().isLost()) {
    return false;
  }
  if (!aRoute.isGather()) {
    return !m_servers.isUnreachable(aService);
  }
  const auto unreachable = static_cast<std::size_t>(
    std::count_if(aRoute.shards.begin(),
                  aRoute.shards.end(),
                  [this](const std::string& aShard) {
                    return m_servers.isUnreachable(aShard);
                  }));
  return aRoute.shards.size() - unreachable >= partsNeeded(aRoute);
}

void
Dispatcher::onRequest(const std::string& aService)
{
  budget(aService).onRequest();
}

std::set<std::string>
Dispatcher::dataCentresOf(const std::string& aService) const
{
  const TimePoint now = m_clock.now();
  std::set<std::string> centres;
  for (const ServerEntryPtr& entry : m_servers.usable(aService)) {
    if (entry->takesRequests(now) && !entry->health.isAvoided(now)) {
      centres.insert(entry->server.dataCentre);
    }
  }
  return centres;
}

bool
Dispatcher::isLocal(const std::string& aService) const
{
  const TimePoint now = m_clock.now();
  const auto& servers = m_servers.usable(aService);
  return std::any_of(
    servers.begin(), servers.end(), [&](const ServerEntryPtr& aEntry) {
      return m_servers.isInSameDataCentre(aEntry->server) &&
             aEntry->takesRequests(now) && !aEntry->health.isAvoided(now);
    });
}

AttemptPtr
Dispatcher::send(const AttemptParams& aParams,
                 const std::string& aService,
                 const std::vector<std::string>& aTried,
                 AttemptKind aKind,
                 const ServerScope& aScope,
                 Done aDone)
{
  if (aParams.losses && aParams.losses->isBlocked()) {
    return nullptr;
  }
  const auto& usable = m_servers.usable(aService);
  const ServerEntryPtr entry =
    aScope.preferredDataCentre.empty()
      ? choose(usable, aTried)
      : choose(serversInScope(usable, aScope, aParams.route.maxAttempts),
               aTried);
  if (!entry) {
    return nullptr;
  }
  if (aKind == AttemptKind::First) {
    ++m_counters.first;
  } else if (budget(aService).trySpend()) {
    ++m_counters.extra;
  } else {
    ++m_counters.denied;
    return nullptr;
  }
  return sendTo(aParams, entry, aKind, std::move(aDone));
}

AttemptPtr
Dispatcher::sendTo(const AttemptParams& aParams,
                   const ServerEntryPtr& aEntry,
                   AttemptKind aKind,
                   Done aDone)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->m_clock = &m_clock;
  attempt->m_timing = &aParams.timing;
  attempt->m_losses = aParams.losses;
  attempt->m_reach = &m_servers.reach();
  attempt->m_entry = aEntry;
  attempt->m_requestId = aParams.callerHeaders.requestId;
  attempt->m_sentAt = m_clock.now();
  attempt->m_running = true;
  ++aEntry->running;
  aEntry->coldLimit.onSend(attempt->m_sentAt);
  aEntry->statedLimit.onSend(attempt->m_sentAt, aKind == AttemptKind::Extra);
  attempt->m_pendingCall = aEntry->pool->send(
    m_protocol.makeCall(
      aParams.request, aParams.callerHeaders, aEntry->server, aParams.deadline),
    [this, attempt, done = std::move(aDone)](ExchangeResult aResult) {
      attempt->m_running = false;
      attempt->m_pendingCall = nullptr; // holds the request as it was sent
      --attempt->m_entry->running;
      done(recordResult(*attempt, std::move(aResult)));
    });
  return attempt;
}

void
Dispatcher::logFailure(const Attempt& aAttempt, const AttemptResult& aResult)
{
  if (!m_failureLogLimit.allows()) {
    return;
  }
  const auto latency =
    std::chrono::duration_cast<std::chrono::microseconds>(aAttempt.latency());
  LogLine line("attempt-failed");
  line.add("id", aAttempt.m_requestId)
    .add("server", aResult.server)
    .add("service", aAttempt.m_entry->server.service)
    .add("end", toString(aResult.end))
    .add("us", latency.count())
    .addText("reason", aResult.reason)
    .add("suppressed", m_failureLogLimit.takeSuppressed());
  if (hasResponse(aResult.end)) {
    line.add("status", aResult.response.result_int());
  }
  logWrite(LogLevel::Info, line);
}

/// Takes over the request limit that an answer states and logs its changes,
/// with the requests that this host sent under the previous limit.
void
Dispatcher::recordLimit(ServerEntry& aEntry, const ServerAnswer& aAnswer)
{
  if (!aEntry.statedLimit.onAnswer(
        m_clock.now(), aAnswer.requestsPerSecond, aAnswer.good)) {
    return;
  }
  m_servers.updateStatedShare(aEntry);
  const StatedLimit::Sends sends = aEntry.statedLimit.takeSends();
  if (!m_limitLogLimit.allows()) {
    return;
  }
  LogLine line("server-limit");
  line.add("server", aEntry.server.id).add("service", aEntry.server.service);
  if (aAnswer.requestsPerSecond) {
    line.add("per_s", *aAnswer.requestsPerSecond);
  } else {
    line.add("per_s", "none");
  }
  line.add("sent_first", sends.first)
    .add("sent_extra", sends.extra)
    .add("suppressed", m_limitLogLimit.takeSuppressed());
  logWrite(LogLevel::Info, line);
}

/// Takes over when an answer says that the server wants no further requests.
void
Dispatcher::recordRefusal(ServerEntry& aEntry, const ServerAnswer& aAnswer)
{
  if (aAnswer.leaving && !aEntry.leaving) {
    aEntry.leaving = true;
    logWrite(LogLevel::Info,
             LogLine("server-leaving")
               .add("server", aEntry.server.id)
               .add("service", aEntry.server.service));
  }
  if (aAnswer.retryAfter) {
    aEntry.refusesUntil =
      std::max(aEntry.refusesUntil, m_clock.now() + *aAnswer.retryAfter);
  }
}

/// Classifies the result of an exchange, updates the server's health, and
/// counts and logs the result.
AttemptResult
Dispatcher::recordResult(Attempt& aAttempt, ExchangeResult aResult)
{
  const TimePoint now = m_clock.now();
  aAttempt.m_latency = now - aAttempt.m_sentAt;
  ServerEntry& entry = *aAttempt.m_entry;
  AttemptResult result;
  result.reason = aResult.reason;
  result.server = entry.server.id;
  switch (aResult.end) {
    case ExchangeEnd::ConnectFailed:
    case ExchangeEnd::NotSent:
      result.end = AttemptEnd::Unreachable;
      entry.health.onUnreachable(now);
      m_servers.reach().onNoAnswer(entry.server.id);
      break;
    case ExchangeEnd::Broken:
    case ExchangeEnd::Malformed:
      result.end = AttemptEnd::Lost;
      entry.health.onFailure(now);
      m_servers.reach().onNoAnswer(entry.server.id);
      if (aAttempt.m_losses && aResult.closedByServer) {
        aAttempt.m_losses->onLost(entry.server.id, entry.server.service);
      }
      break;
    case ExchangeEnd::Answered:
      entry.health.onResponse();
      m_servers.reach().onContact();
      result.answer = m_protocol.readAnswer(aResult.response);
      result.response = std::move(aResult.response);
      if (!result.answer.otherServer) {
        recordLimit(entry, result.answer);
        recordRefusal(entry, result.answer);
      }
      if (result.answer.fault != nullptr) {
        result.end = AttemptEnd::Lost;
        result.reason = result.answer.fault;
        entry.health.onFailure(now);
      } else if (result.answer.good) {
        result.end = AttemptEnd::Good;
        if (aAttempt.m_losses) {
          aAttempt.m_losses->onAnswered();
        }
        aAttempt.m_timing->onLatency(aAttempt.m_latency);
      } else {
        result.end = result.answer.notRun || result.answer.otherServer
                       ? AttemptEnd::NotRun
                       : AttemptEnd::Failed;
        result.reason = "server failed";
        entry.replaced |= result.answer.otherServer;
        entry.health.onFailure(now);
      }
      break;
  }
  ++m_counters.ends[static_cast<std::size_t>(result.end)];
  if (result.end != AttemptEnd::Good) {
    logFailure(aAttempt, result);
  }
  return result;
}

} // namespace toucanridge
