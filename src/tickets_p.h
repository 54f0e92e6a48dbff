#ifndef TOUCANRIDGE_TICKETS_P_H
#define TOUCANRIDGE_TICKETS_P_H

/// At-most-once execution of requests that carry a ticket.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock_p.h"
#include "toucanridge/toucanridge.h"
#include "wire_p.h"

namespace toucanridge {

/// Fields of a ticket. Only the issuer, the process identified by `host` and
/// `incarnation`, may run the request that carries the ticket.
struct Ticket
{
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0; ///< starts at 1
  std::uint64_t check = 0;    ///< only the issuer can compute it

  /// @returns the canonical text that callers get
  std::string toString() const;
  /// @returns nothing when the text is not a ticket in canonical form
  static std::optional<Ticket> parse(const std::string& aText);
};

/// Limits of ticket lifetimes and of the state that a node keeps for tickets.
struct TicketLimits
{
  /// A ticket must be used within this time after issue.
  std::chrono::seconds useWithin{ 120 };
  /// The record of a used ticket is kept for this time after issue.
  std::chrono::seconds keepRecord{ 300 };
  std::size_t maxRecords = 16384;
  std::size_t maxAnswerBytes = 16U << 20U; ///< total size of stored answers
  std::size_t maxWaiters = 8; ///< callers waiting for one running request
  std::size_t maxPendingForwards = 4096; ///< at a node that isn't the issuer
};

/// Largest number of tickets issued by one call.
constexpr std::uint32_t kMaxTicketsPerCall = 64;

struct TicketCounters
{
  std::uint64_t issued = 0;
  std::uint64_t started = 0;
  std::uint64_t joined = 0;   ///< resends that waited for a running request
  std::uint64_t repeated = 0; ///< resends that got the stored answer
  /// Requests refused because their ticket expired, was evicted or is from an
  /// earlier process.
  std::uint64_t dead = 0;
  std::uint64_t forwarded = 0;
  std::size_t records = 0;
  std::size_t bytes = 0;
  std::size_t pending = 0; ///< forwarded requests without an answer yet
};

/// Operations of the node that Tickets depends on.
class TicketNodeI
{
public:
  using Done = std::function<void(QueryAnswer)>;
  virtual ~TicketNodeI() = default;
  /// Runs a query on this node.
  /// @param[in] aDone called once with the answer
  virtual void run(QueryRequest aRequest, Done aDone) = 0;
  /// Sends a request to the host that issued its ticket.
  /// @returns false when the host is not known
  virtual bool forward(const std::string& aHost, TicketForward aForward) = 0;
  /// @returns how long the caller waits for the answer
  virtual Duration deadlineOf(const QueryRequest& aRequest) const = 0;
};

/// Issues tickets, keeps a record of each used ticket, and forwards requests
/// with tickets of other hosts to their issuer. Thread-safe.
///
/// A ticket is unused at first. Its first request runs, and the answer is
/// stored for resends. A `not-run` answer is stored too, so that a request
/// never runs after its caller was told that it did not.
///
/// A ticket is dead when its issuer has restarted. A ticket without a record is
/// dead also when it has expired, or when records up to its sequence were
/// removed by age or because a limit was exceeded. The request of a dead ticket
/// is refused. The outcome is `not-run` as long as the records show that the
/// ticket was never used, and `unknown` after that.
class Tickets
{
public:
  using Done = TicketNodeI::Done;

  /// @param[in] aSecret seed of Ticket::check
  Tickets(const ClockI& aClock,
          TicketNodeI& aNode,
          std::string aHost,
          std::uint64_t aIncarnation,
          std::uint64_t aSecret,
          TicketLimits aLimits = {});

  /// @returns the text of new tickets, at most kMaxTicketsPerCall
  std::vector<std::string> issue(std::uint32_t aCount);

  /// Handles a caller's request that carries a ticket. Runs it, waits for the
  /// running one, repeats the stored answer, or forwards it to the issuer.
  /// @param[in] aDone called once, at the latest at the caller's deadline plus
  ///            the period of sweep()
  void submit(QueryRequest aRequest, Done aDone);

  /// Handles a request that another node forwarded.
  /// @param[in] aReply sends the answer back; called once
  void onForward(const TicketForward& aForward,
                 const std::function<void(TicketReply)>& aReply);
  /// Handles the issuer's answer to a forwarded request. Ignored when no caller
  /// waits for it any more.
  void onReply(const std::string& aHost, TicketReply aReply);
  /// Answers `unknown` to requests forwarded to a host whose link is lost.
  void onLinkLost(const std::string& aHost);
  /// Answers callers whose deadline has passed and removes old records. Must be
  /// called periodically.
  void sweep();

  TicketCounters counters() const;

private:
  struct Waiter
  {
    Done done;
    TimePoint deadline;
  };
  struct Record
  {
    std::uint64_t fingerprint = 0;
    bool finished = false;
    std::size_t bytes = 0;
    QueryAnswer answer;
    std::vector<Waiter> waiters;
  };
  struct PendingForward
  {
    std::string host;
    Waiter waiter;
  };
  /// Relates issue times to sequences.
  struct IssueMark
  {
    TimePoint at;
    std::uint64_t lastSequence = 0; ///< highest sequence issued by then
  };
  /// Answers to deliver once the mutex is released.
  using Replies = std::vector<std::pair<Done, QueryAnswer>>;

  std::uint64_t computeCheck(std::uint64_t aSequence) const;
  /// Runs an unused ticket's request, or answers a resend.
  void runOrJoin(const Ticket& aTicket, QueryRequest aRequest, Waiter aWaiter);
  /// @returns the answer when the ticket must be refused
  std::optional<QueryAnswer> checkTicket(const Ticket& aTicket);
  void finish(std::uint64_t aSequence, const QueryAnswer& aAnswer);
  void forward(const Ticket& aTicket,
               QueryRequest aRequest,
               const Waiter& aWaiter);
  void expireTickets(TimePoint aNow);
  void evictRecords();
  static void deliver(Replies& aReplies);

  const ClockI& m_clock;
  TicketNodeI& m_node;
  const std::string m_host;
  const std::uint64_t m_incarnation;
  const std::uint64_t m_secret;
  const TicketLimits m_limits;
  mutable std::mutex m_mutex;       ///< guards what follows
  std::uint64_t m_lastSequence = 0; ///< highest sequence issued
  std::deque<IssueMark> m_issueMarks;
  /// Unused tickets up to this sequence have expired.
  std::uint64_t m_expiredUpTo = 0;
  /// Finished records up to this sequence are removed, so it is not known
  /// whether a ticket without a record was used.
  std::uint64_t m_evictedUpTo = 0;
  std::map<std::uint64_t, Record> m_records; ///< by sequence
  std::set<std::uint64_t> m_running; ///< sequences without an answer yet
  std::map<std::uint64_t, PendingForward> m_pendingForwards; ///< by id
  std::uint64_t m_nextForwardId = 1;
  TicketCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TICKETS_P_H
