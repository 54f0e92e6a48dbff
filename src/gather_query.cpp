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

/// One way between two hosts of a region, with the work at both ends.
constexpr milliseconds kPeerWay{ 3 };
/// A peer tells that it works on a query after half of the time for its reply;
/// without word a little later, its shards are asked directly.
constexpr double kRelayLateShare = 0.6;
/// Parts that take this share of the aim in the median wait in queues: without
/// load they take a fifth of it.
constexpr double kLoadedShare = 0.45;

std::uint32_t
microsOf(Duration aTime)
{
  const auto micros = std::chrono::duration_cast<microseconds>(aTime).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, micros));
}

} // namespace

GatherQuery::GatherQuery(const QueryServices& aServices, QueryContext aQuery)
  : m_services(aServices)
  , m_query(std::move(aQuery))
  , m_timer(aServices.context)
  , m_needed(partsNeeded(*m_query.route))
{
}

void
GatherQuery::start()
{
  m_query.exchange->onAbandoned([weak = weak_from_this()](unsigned aStatus) {
    const auto self = weak.lock();
    if (self && !self->m_ended) {
      self->m_ended = true;
      self->cancelAll();
      recordAnswer(self->m_services,
                   self->m_query,
                   aStatus,
                   abandonReason(aStatus),
                   self->details());
    }
  });
  m_fanOut = std::make_shared<ShardFanOut>(
    m_services, m_query.order(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->advance();
      }
    });
  plan();
  advance();
}

/// Divides the shards between this host and peers, and asks.
void
GatherQuery::plan()
{
  const auto& shards = m_query.route->shards;
  std::vector<std::set<std::string>> centres;
  centres.reserve(shards.size());
  for (const std::string& shard : shards) {
    centres.push_back(m_services.dispatcher.centresOf(shard));
  }
  const RelayPlan plan = planRelays(centres,
                                    m_services.dataCentre,
                                    m_services.relays.centres(),
                                    m_services.dispatcher.counters().first);
  std::vector<std::size_t> direct = plan.direct;
  for (const auto& [centre, relayed] : plan.relayed) {
    if (!sendRelay(centre, relayed)) {
      direct.insert(direct.end(), relayed.begin(), relayed.end());
    }
  }
  m_fanOut->add(direct, AttemptKind::First, {});
}

/// @returns false when no peer can be asked
bool
GatherQuery::sendRelay(const std::string& aDataCentre,
                       const std::vector<std::size_t>& aShards)
{
  const TimePoint now = m_services.clock.now();
  const HttpRequest& request = m_query.exchange->request();
  RelayQuery relay;
  relay.route = m_query.route->name;
  relay.routeHash = m_query.route->gatherHash();
  relay.leftUs = microsOf(m_query.schedule.giveUpAt - now - kPeerWay);
  const TimePoint replyAt =
    std::max(m_query.schedule.aimAt - 2 * kPeerWay, now + kPeerWay);
  relay.replyInUs = microsOf(replyAt - now);
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
  const std::uint64_t number =
    m_services.relays.send(aDataCentre, std::move(relay), weak_from_this());
  if (number == 0) {
    return false;
  }
  m_relays[number].dataCentre = aDataCentre;
  m_relays[number].asked = aShards;
  m_relayLateAt =
    now +
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(replyAt - now) * kRelayLateShare) +
    2 * kPeerWay;
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
  relay.signOfLife = true;
  if (aReply.state == RelayState::Partial ||
      aReply.state == RelayState::Final) {
    relay.in = readBits(aReply.shards, m_query.route->shards.size());
    relay.signatures = aReply.signatures;
    relay.records = aReply.records;
    relay.usual = microseconds(aReply.usualUs);
    if (relay.in.size() != relay.signatures.size()) {
      relay.in.clear(); // malformed: none of it can be used
      relay.signatures.clear();
      relay.records.clear();
    }
  }
  if (aReply.state == RelayState::Refused && !relay.ended) {
    relay.ended = true;
    m_fanOut->add(relay.asked, AttemptKind::First, {});
  } else if (aReply.state == RelayState::Final && !relay.ended) {
    relay.ended = true;
    takeOver(relay);
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
  takeOver(found->second);
  advance();
}

/// Asks the shards that a relay doesn't bring. Servers may have had them.
void
GatherQuery::takeOver(Relay& aRelay)
{
  std::vector<std::size_t> missing;
  for (const std::size_t shard : aRelay.asked) {
    if (std::find(aRelay.in.begin(), aRelay.in.end(), shard) ==
        aRelay.in.end()) {
      missing.push_back(shard);
    }
  }
  m_taken += missing.size();
  m_fanOut->add(missing, AttemptKind::Extra, { aRelay.dataCentre });
}

void
GatherQuery::checkRelays(TimePoint aNow)
{
  if (aNow < m_relayLateAt) {
    return;
  }
  for (auto& [number, relay] : m_relays) {
    if (!relay.ended && !relay.signOfLife) {
      m_services.relays.onSilent(number);
      relay.signOfLife = true; // taken over; a reply may still come
      takeOver(relay);
    }
  }
}

/// @returns shards whose part is in directly and in no relay's reply
std::vector<std::size_t>
GatherQuery::directShards() const
{
  std::set<std::size_t> relayed;
  for (const auto& entry : m_relays) {
    relayed.insert(entry.second.in.begin(), entry.second.in.end());
  }
  std::vector<std::size_t> direct;
  for (std::size_t i = 0; i < m_query.route->shards.size(); ++i) {
    if (m_fanOut->isIn(i) && relayed.count(i) == 0) {
      direct.push_back(i);
    }
  }
  return direct;
}

std::size_t
GatherQuery::countIn() const
{
  std::size_t in = m_relays.empty() ? m_fanOut->in() : directShards().size();
  for (const auto& entry : m_relays) {
    in += entry.second.in.size();
  }
  return in;
}

/// @returns true when more parts may come
bool
GatherQuery::isWaiting() const
{
  return !m_fanOut->isDone() ||
         std::any_of(m_relays.begin(), m_relays.end(), [](const auto& aEntry) {
           return !aEntry.second.ended;
         });
}

/// @returns true when at least half of the shards are slow as a whole: a few
///          slow ones leave the median alone, and fewer queries don't help them
bool
GatherQuery::isLoaded() const
{
  const Duration most = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(m_query.route->aim) * kLoadedShare);
  const auto isSlow = [most](Duration aUsual) {
    return aUsual == Duration(0) || aUsual > most;
  };
  const std::size_t direct = m_fanOut->asked();
  std::size_t slow = isSlow(m_fanOut->usualLatency()) ? direct : 0;
  for (const auto& entry : m_relays) {
    const Relay& relay = entry.second;
    slow += relay.signOfLife && isSlow(relay.usual) ? relay.asked.size() : 0;
  }
  return 2 * slow >= m_query.route->shards.size();
}

/// Answers when the time or the parts call for it, else waits on.
void
GatherQuery::advance()
{
  if (m_ended) {
    return;
  }
  const TimePoint now = m_services.clock.now();
  checkRelays(now);
  const QuerySchedule& schedule = m_query.schedule;
  const std::size_t in = countIn();
  const bool enough = in >= m_needed;
  if (in == m_query.route->shards.size() || !isWaiting() ||
      now >= schedule.giveUpAt) {
    if (enough) {
      answer();
    } else {
      fail(now);
    }
    return;
  }
  // Just before the aim, enough parts are worth more than all of them late.
  // Once the aim is missed, all of them are worth waiting for a little.
  const bool aimReached = now >= schedule.aimAt;
  if (enough && aimReached && (!m_aimPassed || now >= schedule.completeBy)) {
    answer();
    return;
  }
  if (aimReached && !m_aimPassed) {
    m_aimPassed = true;
    m_query.admission->onQuery(isLoaded());
  }
  wakeLater(now);
}

void
GatherQuery::wakeLater(TimePoint aNow)
{
  const QuerySchedule& schedule = m_query.schedule;
  TimePoint next = schedule.giveUpAt;
  for (const TimePoint time :
       { schedule.aimAt, schedule.completeBy, m_relayLateAt }) {
    if (aNow < time) {
      next = std::min(next, time);
    }
  }
  if (m_wakeAt == next) {
    return;
  }
  m_wakeAt = next;
  m_timer.expires_after(std::max(Duration(0), Duration(next - aNow)));
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && !self->m_ended) {
        self->m_wakeAt = TimePoint();
        self->advance();
      }
    });
}

void
GatherQuery::answer()
{
  std::vector<std::string> signatures;
  std::vector<std::string_view> bodies;
  for (const std::size_t shard : directShards()) {
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
    m_services.protocol.makeMerged(
      signatures, missing, mergeRecords(bodies, m_query.route->topRecords)),
    missing == 0 ? "whole" : "partial");
}

void
GatherQuery::fail(TimePoint aNow)
{
  // A peer's servers may have run parts that never came back.
  if (!m_fanOut->anyRan() && m_fanOut->isDone() && m_relays.empty()) {
    finish(m_services.protocol.makeRefusal(kRetryAfter, "no server took it"),
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
  if (!m_aimPassed) {
    m_query.admission->onQuery(false);
  }
  const std::string parts = details();
  m_fanOut->learn();
  cancelAll();
  const unsigned status = aResponse.result_int();
  m_query.exchange->reply(std::move(aResponse));
  recordAnswer(m_services, m_query, status, aReason, parts);
}

/// @returns the counts that explain an answer, and the shards it lacks
std::string
GatherQuery::details() const
{
  const auto& shards = m_query.route->shards;
  std::set<std::size_t> in;
  for (const std::size_t shard : directShards()) {
    in.insert(shard);
  }
  for (const auto& entry : m_relays) {
    in.insert(entry.second.in.begin(), entry.second.in.end());
  }
  std::string text =
    std::to_string(in.size()) + "/" + std::to_string(shards.size()) +
    " hedges " + std::to_string(m_fanOut->hedges()) + " retries " +
    std::to_string(m_fanOut->retries()) + " relays " +
    std::to_string(m_relays.size()) + " taken " + std::to_string(m_taken);
  if (in.size() < shards.size()) {
    text += " lacking";
    for (std::size_t i = 0; i < shards.size(); ++i) {
      text += in.count(i) == 0 ? " " + m_fanOut->trace(i) : "";
    }
  }
  return text;
}

void
GatherQuery::cancelAll()
{
  m_timer.cancel();
  m_fanOut->cancel();
  for (const auto& [number, relay] : m_relays) {
    if (!relay.ended) {
      m_services.relays.cancel(number);
    }
  }
}

} // namespace toucanridge
