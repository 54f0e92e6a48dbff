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

/// Subtracted from the time left of a forwarded request, so that the issuer's
/// answer arrives before the caller's deadline.
constexpr milliseconds kReplyDelay{ 10 };
/// Time resolution of Tickets::m_issueMarks.
constexpr milliseconds kIssueMarkInterval{ 1000 };

constexpr std::size_t kMaxTicketLength = 256;

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
Ticket::toString() const
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
  if (aText.size() > kMaxTicketLength) {
    return std::nullopt;
  }
  std::istringstream in(aText);
  Ticket ticket;
  std::array<char, 3> dots{};
  in >> std::hex >> ticket.sequence >> dots[0] >> ticket.check >> dots[1] >>
    ticket.incarnation >> dots[2] >> ticket.host;
  // Comparing with the canonical text rejects signs, spaces and prefixes, which
  // the stream operators accept.
  if (in.fail() || ticket.host.empty() || ticket.toString() != aText) {
    return std::nullopt;
  }
  return ticket;
}

Tickets::Tickets(const ClockI& aClock,
                 TicketNodeI& aNode,
                 std::string aHost,
                 std::uint64_t aIncarnation,
                 std::uint64_t aSecret,
                 TicketLimits aLimits)
  : m_clock(aClock)
  , m_node(aNode)
  , m_host(std::move(aHost))
  , m_incarnation(aIncarnation)
  , m_secret(aSecret)
  , m_limits(aLimits)
{
}

std::uint64_t
Tickets::computeCheck(std::uint64_t aSequence) const
{
  return XXH3_64bits_withSeed(&aSequence, sizeof(aSequence), m_secret);
}

std::vector<std::string>
Tickets::issue(std::uint32_t aCount)
{
  std::vector<std::string> tickets;
  const TimePoint now = m_clock.now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  expireTickets(now);
  for (std::uint32_t i = 0; i < std::min(aCount, kMaxTicketsPerCall); ++i) {
    const std::uint64_t sequence = ++m_lastSequence;
    ++m_counters.issued;
    tickets.push_back(
      Ticket{ m_host, m_incarnation, sequence, computeCheck(sequence) }
        .toString());
  }
  if (m_issueMarks.empty() ||
      now - m_issueMarks.back().at >= kIssueMarkInterval) {
    m_issueMarks.push_back({ now, m_lastSequence });
  } else {
    m_issueMarks.back().lastSequence = m_lastSequence;
  }
  return tickets;
}

void
Tickets::submit(QueryRequest aRequest, Done aDone)
{
  const auto ticket = Ticket::parse(aRequest.ticket);
  if (!ticket) {
    aDone(makeAnswer(Outcome::NotRun, "malformed ticket"));
    return;
  }
  Waiter waiter{ std::move(aDone),
                 m_clock.now() + m_node.deadlineOf(aRequest) };
  if (ticket->host != m_host) {
    forward(*ticket, std::move(aRequest), waiter);
    return;
  }
  runOrJoin(*ticket, std::move(aRequest), std::move(waiter));
}

std::optional<QueryAnswer>
Tickets::checkTicket(const Ticket& aTicket)
{
  if (aTicket.incarnation != m_incarnation) {
    ++m_counters.dead;
    return makeAnswer(Outcome::Unknown, Errc::TicketDead);
  }
  if (aTicket.sequence == 0 || aTicket.sequence > m_lastSequence ||
      aTicket.check != computeCheck(aTicket.sequence)) {
    return makeAnswer(Outcome::NotRun, "ticket was never issued");
  }
  if (m_records.count(aTicket.sequence) != 0) {
    return std::nullopt;
  }
  if (aTicket.sequence <= m_evictedUpTo) {
    ++m_counters.dead;
    return makeAnswer(Outcome::Unknown, Errc::TicketDead);
  }
  if (aTicket.sequence <= m_expiredUpTo) {
    // A used ticket would still have its record, so this one was never used.
    ++m_counters.dead;
    return makeAnswer(Outcome::NotRun, Errc::TicketDead);
  }
  return std::nullopt;
}

void
Tickets::runOrJoin(const Ticket& aTicket, QueryRequest aRequest, Waiter aWaiter)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  expireTickets(m_clock.now());
  if (const auto refused = checkTicket(aTicket)) {
    lock.unlock();
    aWaiter.done(*refused);
    return;
  }
  const std::uint64_t fingerprint = fingerprintOf(aRequest);
  const auto [found, inserted] = m_records.try_emplace(aTicket.sequence);
  Record& record = found->second;
  if (inserted) {
    ++m_counters.started;
    record.fingerprint = fingerprint;
    m_running.insert(aTicket.sequence);
    record.waiters.push_back(std::move(aWaiter));
    evictRecords();
    lock.unlock();
    m_node.run(std::move(aRequest),
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
  } else if (record.waiters.size() < m_limits.maxWaiters) {
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
    evictRecords();
  }
  deliver(replies);
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
  frame.remainingUs = duration_cast<microseconds>(
                        std::max<Duration>(left - kReplyDelay, milliseconds(1)))
                        .count();
  std::uint64_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_pendingForwards.size() < m_limits.maxPendingForwards) {
      ++m_counters.forwarded;
      id = frame.id = m_nextForwardId++;
      m_pendingForwards[id] = { aTicket.host, aWaiter };
    }
  }
  // Another node may have forwarded the same request before, so this node must
  // not answer "not run" unless the issuer did.
  if (id == 0) {
    aWaiter.done(makeAnswer(Outcome::Unknown, Errc::Overloaded));
    return;
  }
  if (!m_node.forward(aTicket.host, std::move(frame))) {
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
    std::max<std::int64_t>(aForward.remainingUs, std::int64_t(1000)));
  // This rounds down. The result is at least 1 ms, because 0 would select the
  // deadline of the query class.
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
  runOrJoin(
    *ticket, std::move(request), { std::move(done), m_clock.now() + left });
}

void
Tickets::onReply(const std::string& aHost, TicketReply aReply)
{
  Done done;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_pendingForwards.find(aReply.id);
    if (found == m_pendingForwards.end() || found->second.host != aHost) {
      return;
    }
    done = std::move(found->second.waiter.done);
    m_pendingForwards.erase(found);
  }
  done(std::move(aReply.answer));
}

void
Tickets::onLinkLost(const std::string& aHost)
{
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_pendingForwards.begin(); it != m_pendingForwards.end();) {
      if (it->second.host == aHost) {
        replies.emplace_back(std::move(it->second.waiter.done),
                             makeAnswer(Outcome::Unknown, Errc::Unreachable));
        it = m_pendingForwards.erase(it);
      } else {
        ++it;
      }
    }
  }
  deliver(replies);
}

/// Advances m_expiredUpTo and m_evictedUpTo by the time since issue, and
/// removes records accordingly.
void
Tickets::expireTickets(TimePoint aNow)
{
  for (const IssueMark& mark : m_issueMarks) {
    if (aNow - mark.at < m_limits.useWithin) {
      break;
    }
    m_expiredUpTo = std::max(m_expiredUpTo, mark.lastSequence);
  }
  while (!m_issueMarks.empty() &&
         aNow - m_issueMarks.front().at >= m_limits.keepRecord) {
    m_evictedUpTo = std::max(m_evictedUpTo, m_issueMarks.front().lastSequence);
    m_issueMarks.pop_front();
  }
  evictRecords();
}

/// Removes finished records up to m_evictedUpTo, and the oldest records while a
/// limit is exceeded.
void
Tickets::evictRecords()
{
  for (auto it = m_records.begin(); it != m_records.end();) {
    const bool overLimit = m_records.size() > m_limits.maxRecords ||
                           m_counters.bytes > m_limits.maxAnswerBytes;
    if (it->first > m_evictedUpTo && !overLimit) {
      break;
    }
    // Once its record is removed, a used ticket must not pass for an unused
    // one.
    m_evictedUpTo = std::max(m_evictedUpTo, it->first);
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
    expireTickets(now);
    const auto expire = [&](Waiter& aWaiter) {
      const bool expired = aWaiter.deadline <= now;
      if (expired) {
        replies.emplace_back(std::move(aWaiter.done),
                             makeAnswer(Outcome::Unknown, Errc::TimedOut));
      }
      return expired;
    };
    for (auto it = m_pendingForwards.begin(); it != m_pendingForwards.end();) {
      it =
        expire(it->second.waiter) ? m_pendingForwards.erase(it) : std::next(it);
    }
    for (const std::uint64_t sequence : m_running) {
      auto& waiters = m_records.at(sequence).waiters;
      waiters.erase(std::remove_if(waiters.begin(), waiters.end(), expire),
                    waiters.end());
    }
  }
  deliver(replies);
}

void
Tickets::deliver(Replies& aReplies)
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
  counters.pending = m_pendingForwards.size();
  return counters;
}

} // namespace toucanridge
