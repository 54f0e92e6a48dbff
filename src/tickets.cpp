#include "tickets_p.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include <xxhash.h>

namespace toucanridge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Kept back from a forwarded deadline for the way back of the answer.
constexpr milliseconds kForwardReserve{ 10 };
/// Time resolution of the index from issue time to sequence.
constexpr milliseconds kIssueStep{ 1000 };

constexpr std::size_t kMaxTicketText = 256;

std::uint64_t
fingerprintOf(const QueryRequest& aRequest)
{
  return XXH3_64bits_withSeed(
    aRequest.body.data(),
    aRequest.body.size(),
    XXH3_64bits(aRequest.queryClass.data(), aRequest.queryClass.size()));
}

QueryAnswer
makeAnswer(Outcome aOutcome, const std::string& aReason)
{
  QueryAnswer answer;
  answer.outcome = aOutcome;
  answer.reason = aReason;
  return answer;
}

QueryAnswer
makeAnswer(Outcome aOutcome, Errc aError)
{
  return makeAnswer(aOutcome, make_error_code(aError).message());
}

std::size_t
sizeOf(const QueryAnswer& aAnswer)
{
  std::size_t size = sizeof(QueryAnswer) + aAnswer.reason.size();
  for (const AnswerPart& part : aAnswer.parts) {
    size += sizeof(AnswerPart) + part.service.size() + part.body.size();
  }
  for (const GoverningRule& rule : aAnswer.rules) {
    size += sizeof(GoverningRule) + rule.text.size() + rule.askedBy.size();
  }
  return size;
}

} // namespace

std::string
Ticket::str() const
{
  std::array<char, 64> text{};
  std::snprintf(text.data(),
                text.size(),
                "%llx.%llx.%llx.",
                static_cast<unsigned long long>(sequence),
                static_cast<unsigned long long>(check),
                static_cast<unsigned long long>(incarnation));
  return text.data() + host;
}

std::optional<Ticket>
Ticket::parse(const std::string& aText)
{
  if (aText.size() > kMaxTicketText) {
    return std::nullopt;
  }
  std::istringstream in(aText);
  Ticket ticket;
  std::array<char, 3> dots{};
  in >> std::hex >> ticket.sequence >> dots[0] >> ticket.check >> dots[1] >>
    ticket.incarnation >> dots[2] >> ticket.host;
  // Comparing with the canonical text refuses signs, spaces and the like.
  if (in.fail() || ticket.host.empty() || ticket.str() != aText) {
    return std::nullopt;
  }
  return ticket;
}

Tickets::Tickets(const ClockI& aClock,
                 TicketIoI& aIo,
                 std::string aHost,
                 std::uint64_t aIncarnation,
                 std::uint64_t aSecret,
                 TicketLimits aLimits)
  : m_clock(aClock)
  , m_io(aIo)
  , m_host(std::move(aHost))
  , m_incarnation(aIncarnation)
  , m_secret(aSecret)
  , m_limits(aLimits)
{
}

std::uint64_t
Tickets::checkOf(std::uint64_t aSequence) const
{
  return XXH3_64bits_withSeed(&aSequence, sizeof(aSequence), m_secret);
}

std::vector<std::string>
Tickets::issue(std::uint32_t aCount)
{
  std::vector<std::string> list;
  const TimePoint now = m_clock.now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  age(now);
  for (std::uint32_t i = 0; i < std::min(aCount, kMaxTicketsPerCall); ++i) {
    const std::uint64_t sequence = ++m_last;
    ++m_counters.issued;
    list.push_back(
      Ticket{ m_host, m_incarnation, sequence, checkOf(sequence) }.str());
  }
  if (m_issued.empty() || now - m_issued.back().at >= kIssueStep) {
    m_issued.push_back({ now, m_last });
  } else {
    m_issued.back().last = m_last;
  }
  return list;
}

void
Tickets::submit(QueryRequest aRequest, Done aDone)
{
  const auto ticket = Ticket::parse(aRequest.ticket);
  if (!ticket) {
    aDone(makeAnswer(Outcome::NotRun, "malformed ticket"));
    return;
  }
  Waiter waiter{ std::move(aDone), m_clock.now() + m_io.deadlineOf(aRequest) };
  if (ticket->host != m_host) {
    forward(*ticket, std::move(aRequest), waiter);
    return;
  }
  begin(*ticket, std::move(aRequest), std::move(waiter));
}

std::optional<QueryAnswer>
Tickets::refusal(const Ticket& aTicket)
{
  if (aTicket.incarnation != m_incarnation) {
    ++m_counters.dead;
    return makeAnswer(Outcome::Unknown, Errc::TicketDead);
  }
  if (aTicket.sequence == 0 || aTicket.sequence > m_last ||
      aTicket.check != checkOf(aTicket.sequence)) {
    return makeAnswer(Outcome::NotRun, "ticket was never issued");
  }
  if (m_records.count(aTicket.sequence) != 0) {
    return std::nullopt;
  }
  if (aTicket.sequence <= m_keepFloor) {
    ++m_counters.dead;
    return makeAnswer(Outcome::Unknown, Errc::TicketDead);
  }
  if (aTicket.sequence <= m_startFloor) {
    // Its record would still exist if it had been used.
    ++m_counters.dead;
    return makeAnswer(Outcome::NotRun, Errc::TicketDead);
  }
  return std::nullopt;
}

void
Tickets::begin(const Ticket& aTicket, QueryRequest aRequest, Waiter aWaiter)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  age(m_clock.now());
  if (const auto refused = refusal(aTicket)) {
    lock.unlock();
    aWaiter.done(*refused);
    return;
  }
  const std::uint64_t fingerprint = fingerprintOf(aRequest);
  const auto [found, fresh] = m_records.try_emplace(aTicket.sequence);
  Record& record = found->second;
  if (fresh) {
    ++m_counters.started;
    record.fingerprint = fingerprint;
    m_running.insert(aTicket.sequence);
    record.waiters.push_back(std::move(aWaiter));
    evict();
    lock.unlock();
    m_io.run(std::move(aRequest),
             [this, sequence = aTicket.sequence](const QueryAnswer& aAnswer) {
               finish(sequence, aAnswer);
             });
    return;
  }
  if (record.fingerprint != fingerprint) {
    lock.unlock();
    aWaiter.done(
      makeAnswer(Outcome::NotRun, "ticket belongs to another request"));
  } else if (record.finished) {
    ++m_counters.repeated;
    const QueryAnswer answer = record.answer;
    lock.unlock();
    aWaiter.done(answer);
  } else if (record.waiters.size() < m_limits.waiters) {
    ++m_counters.joined;
    record.waiters.push_back(std::move(aWaiter));
  } else {
    lock.unlock();
    aWaiter.done(makeAnswer(Outcome::Unknown, "request is still running"));
  }
}

void
Tickets::finish(std::uint64_t aSequence, const QueryAnswer& aAnswer)
{
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Record& record = m_records.at(aSequence);
    record.finished = true;
    m_running.erase(aSequence);
    record.answer = aAnswer;
    record.bytes = sizeOf(aAnswer);
    m_counters.bytes += record.bytes;
    for (Waiter& waiter : record.waiters) {
      replies.emplace_back(std::move(waiter.done), aAnswer);
    }
    record.waiters.clear();
    evict();
  }
  giveAll(replies);
}

void
Tickets::forward(const Ticket& aTicket,
                 QueryRequest aRequest,
                 const Waiter& aWaiter)
{
  TicketForward frame;
  frame.ticket = std::move(aRequest.ticket);
  frame.queryClass = std::move(aRequest.queryClass);
  frame.body = std::move(aRequest.body);
  const Duration left = aWaiter.deadline - m_clock.now();
  frame.deadlineUs =
    duration_cast<microseconds>(
      std::max<Duration>(left - kForwardReserve, milliseconds(1)))
      .count();
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_pending.size() < m_limits.forwards) {
      ++m_counters.forwarded;
      id = frame.id = m_nextForward++;
      m_pending[id] = { aTicket.host, aWaiter };
    }
  }
  // This node can't know whether another node passed the request on before, so
  // it never says "not run" without an answer of the issuer.
  if (id == 0) {
    aWaiter.done(makeAnswer(Outcome::Unknown, Errc::Overloaded));
    return;
  }
  if (!m_io.forward(aTicket.host, std::move(frame))) {
    TicketReply reply;
    reply.id = id;
    reply.answer = makeAnswer(Outcome::Unknown, Errc::Unreachable);
    onReply(aTicket.host, std::move(reply));
  }
}

void
Tickets::onForward(const TicketForward& aForward,
                   const std::function<void(TicketReply)>& aReply)
{
  QueryRequest request;
  request.queryClass = aForward.queryClass;
  request.body = aForward.body;
  request.ticket = aForward.ticket;
  const microseconds left(
    std::max<std::int64_t>(aForward.deadlineUs, std::int64_t(1000)));
  // Rounds down, but 0 would mean the deadline of the class.
  request.deadline = duration_cast<milliseconds>(left);
  Done done = [aReply, id = aForward.id](QueryAnswer aAnswer) {
    TicketReply reply;
    reply.id = id;
    reply.answer = std::move(aAnswer);
    aReply(std::move(reply));
  };
  const auto ticket = Ticket::parse(aForward.ticket);
  if (!ticket || ticket->host != m_host) {
    done(makeAnswer(Outcome::Unknown, "forwarded to the wrong host"));
    return;
  }
  begin(*ticket, std::move(request), { std::move(done), m_clock.now() + left });
}

void
Tickets::onReply(const std::string& aHost, TicketReply aReply)
{
  Done done;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_pending.find(aReply.id);
    if (found == m_pending.end() || found->second.host != aHost) {
      return;
    }
    done = std::move(found->second.waiter.done);
    m_pending.erase(found);
  }
  done(std::move(aReply.answer));
}

void
Tickets::onLinkLost(const std::string& aHost)
{
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_pending.begin(); it != m_pending.end();) {
      if (it->second.host == aHost) {
        replies.emplace_back(std::move(it->second.waiter.done),
                             makeAnswer(Outcome::Unknown, Errc::Unreachable));
        it = m_pending.erase(it);
      } else {
        ++it;
      }
    }
  }
  giveAll(replies);
}

/// Raises the floors to what was issued long enough ago.
void
Tickets::age(TimePoint aNow)
{
  for (const Issued& issued : m_issued) {
    if (aNow - issued.at < m_limits.usable) {
      break;
    }
    m_startFloor = std::max(m_startFloor, issued.last);
  }
  while (!m_issued.empty() && aNow - m_issued.front().at >= m_limits.kept) {
    m_keepFloor = std::max(m_keepFloor, m_issued.front().last);
    m_issued.pop_front();
  }
  evict();
}

/// Drops finished records below the floor, and the oldest beyond the limits.
void
Tickets::evict()
{
  for (auto it = m_records.begin(); it != m_records.end();) {
    const bool over =
      m_records.size() > m_limits.records || m_counters.bytes > m_limits.bytes;
    if (it->first > m_keepFloor && !over) {
      break;
    }
    // A record without a trace must not look like a fresh ticket.
    m_keepFloor = std::max(m_keepFloor, it->first);
    if (it->second.finished) {
      m_counters.bytes -= it->second.bytes;
      it = m_records.erase(it);
    } else {
      ++it;
    }
  }
}

void
Tickets::sweep()
{
  Replies replies;
  {
    const TimePoint now = m_clock.now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    age(now);
    const auto expire = [&](Waiter& aWaiter) {
      const bool expired = aWaiter.deadline <= now;
      if (expired) {
        replies.emplace_back(std::move(aWaiter.done),
                             makeAnswer(Outcome::Unknown, Errc::TimedOut));
      }
      return expired;
    };
    for (auto it = m_pending.begin(); it != m_pending.end();) {
      it = expire(it->second.waiter) ? m_pending.erase(it) : std::next(it);
    }
    for (const std::uint64_t sequence : m_running) {
      auto& waiters = m_records.at(sequence).waiters;
      waiters.erase(std::remove_if(waiters.begin(), waiters.end(), expire),
                    waiters.end());
    }
  }
  giveAll(replies);
}

void
Tickets::giveAll(Replies& aReplies)
{
  for (auto& [done, answer] : aReplies) {
    done(std::move(answer));
  }
}

TicketCounters
Tickets::counters() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  TicketCounters counters = m_counters;
  counters.records = m_records.size();
  counters.pending = m_pending.size();
  return counters;
}

} // namespace toucanridge
