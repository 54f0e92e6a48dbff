#include "gather_query_p.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "record_merge_p.h"
#include "relay_plan_p.h"

namespace toucanridge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// One-way delay between two hosts of a region, with the work at both ends.
constexpr milliseconds kPeerOneWayDelay{ 3 };
/// A peer acknowledges a query after half of the time allowed for its reply
/// (kProgressDivisor in relay_worker.cpp). If no response arrives within this
/// share of that time plus a round trip, its shards are queried directly.
constexpr double kRelayAckShare = 0.6;

std::uint32_t
toMicros(Duration aTime)
{
  const auto micros = std::chrono::duration_cast<microseconds>(aTime).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, micros));
}

} // namespace

GatherQuery::GatherQuery(const QueryDependencies& aDeps, QueryContext aQuery)
  : m_deps(aDeps)
  , m_query(std::move(aQuery))
  , m_timer(aDeps.context)
  , m_partsNeeded(partsNeeded(*m_query.route))
{
}

void
GatherQuery::start()
{
  m_query.exchange->setOnAbandoned([weak = weak_from_this()](unsigned aStatus) {
    const auto self = weak.lock();
    if (self && !self->m_ended) {
      self->m_ended = true;
      self->cancelAll();
      recordAnswer(self->m_deps,
                   self->m_query,
                   aStatus,
                   abandonReason(aStatus),
                   self->details());
    }
  });
  m_fanOut = std::make_shared<ShardFanOut>(
    m_deps, m_query.attemptParams(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->advance();
      }
    });
  plan();
  advance();
}

/// Divides the shards between this host and peers, and sends the requests.
void
GatherQuery::plan()
{
  const auto& shards = m_query.route->shards;
  std::vector<std::set<std::string>> centres;
  centres.reserve(shards.size());
  for (const std::string& shard : shards) {
    // The other data centres don't matter for a shard that is queried directly.
    centres.push_back(m_deps.dispatcher.isLocal(shard)
                        ? std::set<std::string>{ m_deps.dataCentre }
                        : m_deps.dispatcher.dataCentresOf(shard));
  }
  const RelayPlan plan = planRelays(centres,
                                    m_deps.dataCentre,
                                    m_deps.relays.availableDataCentres(),
                                    m_deps.dispatcher.counters().first);
  std::vector<std::size_t> direct = plan.direct;
  for (const auto& [centre, relayed] : plan.relayed) {
    if (!sendRelay(centre, relayed)) {
      direct.insert(direct.end(), relayed.begin(), relayed.end());
    }
  }
  m_fanOut->add(direct, AttemptKind::First, {});
}

/// @returns false when no peer in the data centre can be queried
bool
GatherQuery::sendRelay(const std::string& aDataCentre,
                       const std::vector<std::size_t>& aShards)
{
  const TimePoint now = m_deps.clock.now();
  const HttpRequest& request = m_query.exchange->request();
  RelayQuery relay;
  relay.route = m_query.route->name;
  relay.gatherHash = m_query.route->gatherHash();
  relay.remainingUs =
    toMicros(m_query.schedule.giveUpAt - now - kPeerOneWayDelay);
  const TimePoint replyAt = std::max(
    m_query.schedule.targetAt - 2 * kPeerOneWayDelay, now + kPeerOneWayDelay);
  relay.replyInUs = toMicros(replyAt - now);
  relay.method = std::string(request.method_string());
  relay.target = std::string(request.target());
  const std::string_view connection = headerValue(request.base(), "Connection");
  for (const auto& field : request.base()) {
    const auto name = field.name_string();
    if (!isHopByHop({ name.data(), name.size() }, connection)) {
      relay.headers.push_back(
        { std::string(name), std::string(field.value()) });
    }
  }
  relay.body = request.body();
  relay.shards = makeBits(aShards, m_query.route->shards.size());
  const std::uint64_t relayId =
    m_deps.relays.send(aDataCentre, std::move(relay), weak_from_this());
  if (relayId == 0) {
    return false;
  }
  m_relays[relayId].dataCentre = aDataCentre;
  m_relays[relayId].asked = aShards;
  m_relayAckDeadline =
    now +
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(replyAt - now) * kRelayAckShare) +
    2 * kPeerOneWayDelay;
  return true;
}

void
GatherQuery::onRelayReply(std::uint64_t aRelay, const RelayReply& aReply)
{
  const auto found = m_relays.find(aRelay);
  if (m_ended || found == m_relays.end()) {
    return;
  }
  Relay& relay = found->second;
  relay.replyCheckDone = true;
  if (aReply.state == RelayState::Partial ||
      aReply.state == RelayState::Final) {
    relay.received = readBits(aReply.shards, m_query.route->shards.size());
    relay.signatures = aReply.signatures;
    relay.records = aReply.records;
    relay.medianLatency = microseconds(aReply.medianLatencyUs);
    if (relay.received.size() != relay.signatures.size()) {
      relay.received.clear(); // malformed: no part of the reply can be used
      relay.signatures.clear();
      relay.records.clear();
    }
  }
  if (aReply.state == RelayState::Refused && !relay.ended) {
    relay.ended = true;
    // The peer asked no server, so another one may.
    const Relay refused = relay;
    if (!sendRelay(refused.dataCentre, refused.asked)) {
      m_fanOut->add(refused.asked, AttemptKind::First, {});
    }
  } else if (aReply.state == RelayState::Final && !relay.ended) {
    relay.ended = true;
    reassignMissing(relay);
  }
  advance();
}

void
GatherQuery::onRelayLost(std::uint64_t aRelay)
{
  const auto found = m_relays.find(aRelay);
  if (m_ended || found == m_relays.end() || found->second.ended) {
    return;
  }
  found->second.ended = true;
  reassignMissing(found->second);
  advance();
}

/// Queries the shards whose parts a relay didn't deliver. Servers may have run
/// those parts already, so these attempts count as extra.
void
GatherQuery::reassignMissing(Relay& aRelay)
{
  std::vector<std::size_t> missing;
  for (const std::size_t shard : aRelay.asked) {
    const bool received =
      std::find(aRelay.received.begin(), aRelay.received.end(), shard) !=
      aRelay.received.end();
    if (!received && !m_fanOut->isAsked(shard)) {
      missing.push_back(shard);
    }
  }
  m_reassigned += missing.size();
  m_fanOut->add(missing, AttemptKind::Extra, { aRelay.dataCentre });
}

void
GatherQuery::checkRelays(TimePoint aNow)
{
  if (aNow < m_relayAckDeadline) {
    return;
  }
  for (auto& [relayId, relay] : m_relays) {
    if (!relay.ended && !relay.replyCheckDone) {
      m_deps.relays.onReplyOverdue(relayId);
      relay.replyCheckDone = true; // reassign once; a late reply still counts
      reassignMissing(relay);
    }
  }
}

/// @returns shards whose part was received directly and is in no relay's reply
std::vector<std::size_t>
GatherQuery::receivedDirectly() const
{
  std::vector<bool> relayed(m_query.route->shards.size());
  for (const auto& entry : m_relays) {
    for (const std::size_t shard : entry.second.received) {
      relayed[shard] = true;
    }
  }
  std::vector<std::size_t> direct;
  for (std::size_t i = 0; i < relayed.size(); ++i) {
    if (m_fanOut->isReceived(i) && !relayed[i]) {
      direct.push_back(i);
    }
  }
  return direct;
}

std::size_t
GatherQuery::countReceived() const
{
  std::size_t received =
    m_relays.empty() ? m_fanOut->receivedCount() : receivedDirectly().size();
  for (const auto& entry : m_relays) {
    received += entry.second.received.size();
  }
  return received;
}

/// @returns true when more parts may be received
bool
GatherQuery::isWaiting() const
{
  return !m_fanOut->isDone() ||
         std::any_of(m_relays.begin(), m_relays.end(), [](const auto& aEntry) {
           return !aEntry.second.ended;
         });
}

/// @returns true when at least half of the shards belong to a group (direct or
///          of one relay) with a slow median. A few slow shards don't raise a
///          median, and admitting fewer queries wouldn't make them faster.
bool
GatherQuery::isOverloaded() const
{
  const auto isSlow = [this](Duration aMedianLatency) {
    return isOverloadedMedian(aMedianLatency, m_query.route->targetLatency);
  };
  const std::size_t direct = m_fanOut->askedCount();
  std::size_t slow = isSlow(m_fanOut->medianLatency()) ? direct : 0;
  for (const auto& entry : m_relays) {
    const Relay& relay = entry.second;
    slow += relay.replyCheckDone && isSlow(relay.medianLatency)
              ? relay.asked.size()
              : 0;
  }
  return 2 * slow >= m_query.route->shards.size();
}

/// Answers or fails when all parts are received or the time for them is over;
/// else schedules the next check.
void
GatherQuery::advance()
{
  if (m_ended) {
    return;
  }
  const TimePoint now = m_deps.clock.now();
  checkRelays(now);
  const PartCounts parts{
    countReceived(), m_partsNeeded, m_query.route->shards.size(), isWaiting()
  };
  switch (decideAnswer(parts, m_query.schedule, now)) {
    case AnswerStep::Answer:
      answer();
      return;
    case AnswerStep::Fail:
      fail(now);
      return;
    case AnswerStep::Wait:
      break;
  }
  if (now >= m_query.schedule.targetAt && !m_targetMissed) {
    m_targetMissed = true;
    m_query.admission->onQuery(isOverloaded());
  }
  scheduleTimer(now);
}

void
GatherQuery::scheduleTimer(TimePoint aNow)
{
  const QuerySchedule& schedule = m_query.schedule;
  TimePoint next = schedule.giveUpAt;
  for (const TimePoint time : { schedule.targetAt, m_relayAckDeadline }) {
    if (aNow < time) {
      next = std::min(next, time);
    }
  }
  if (m_timerAt == next) {
    return;
  }
  m_timerAt = next;
  m_timer.expires_after(std::max(Duration(0), Duration(next - aNow)));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->m_timerAt = TimePoint();
        self->advance();
      }
    });
}

void
GatherQuery::answer()
{
  std::vector<std::string> signatures;
  std::vector<std::string_view> bodies;
  for (const std::size_t shard : receivedDirectly()) {
    signatures.push_back(m_fanOut->signature(shard));
    bodies.push_back(m_fanOut->body(shard));
  }
  for (const auto& entry : m_relays) {
    const Relay& relay = entry.second;
    signatures.insert(
      signatures.end(), relay.signatures.begin(), relay.signatures.end());
    bodies.push_back(relay.records);
  }
  const std::size_t missing = m_query.route->shards.size() - signatures.size();
  finish(
    m_deps.protocol.makeMerged(
      signatures, missing, mergeRecords(bodies, m_query.route->topRecords)),
    missing == 0 ? "whole" : "partial");
}

void
GatherQuery::fail(TimePoint aNow)
{
  // A peer's servers may have run parts whose answers were lost, so a query
  // with relays isn't reported as not run.
  if (!m_fanOut->anyMayHaveRun() && m_fanOut->isDone() && m_relays.empty()) {
    finish(m_deps.protocol.makeRefusal(kRetryAfter, "no server took it"),
           "no server took it");
    return;
  }
  const bool late = aNow >= m_query.schedule.giveUpAt;
  finish(makeResponse(late ? 504 : 502, "too few parts\n"),
         late ? "deadline passed" : "too few parts");
}

void
GatherQuery::finish(HttpResponse aResponse, const char* aReason)
{
  m_ended = true;
  if (!m_targetMissed) {
    m_query.admission->onQuery(false);
  }
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  const TimePoint now = m_deps.clock.now();
  if (now >= m_query.schedule.targetAt && !m_targetMissed) {
    m_query.timing->onAnswerDelay(now - m_query.schedule.targetAt);
  }
  recordAnswer(m_deps, m_query, status, aReason, details());
  m_fanOut->recordLatencies();
  cancelAll();
}

/// @returns counts for the log line of the answer, and the missing shards
std::string
GatherQuery::details() const
{
  const auto& shards = m_query.route->shards;
  std::set<std::size_t> received;
  for (const std::size_t shard : receivedDirectly()) {
    received.insert(shard);
  }
  for (const auto& entry : m_relays) {
    received.insert(entry.second.received.begin(), entry.second.received.end());
  }
  std::string text =
    std::to_string(received.size()) + "/" + std::to_string(shards.size()) +
    " hedges " + std::to_string(m_fanOut->hedges()) + " retries " +
    std::to_string(m_fanOut->retries()) + " relays " +
    std::to_string(m_relays.size()) + " taken " + std::to_string(m_reassigned);
  if (received.size() < shards.size()) {
    text += " lacking";
    for (std::size_t i = 0; i < shards.size(); ++i) {
      text += received.count(i) == 0 ? " " + m_fanOut->trace(i) : "";
    }
  }
  return text;
}

void
GatherQuery::cancelAll()
{
  m_timer.cancel();
  m_fanOut->cancel();
  for (const auto& [relayId, relay] : m_relays) {
    if (!relay.ended) {
      m_deps.relays.cancel(relayId);
    }
  }
}

} // namespace toucanridge
