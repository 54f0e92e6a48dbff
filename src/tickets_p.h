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

/// The parts of a ticket. Only the named incarnation of the host may run the
/// request that carries it.
struct Ticket
{
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0; ///< from 1
  std::uint64_t check = 0;    ///< known only to the issuer

  std::string str() const;
  /// @returns nothing when the text is no ticket
  static std::optional<Ticket> parse(const std::string& aText);
};

/// Bounds of an issuer's records.
struct TicketLimits
{
  /// A ticket must be used within this time.
  std::chrono::seconds usable{ 120 };
  /// The record of a used ticket is kept for this time after issue.
  std::chrono::seconds kept{ 300 };
  std::size_t records = 16384;
  std::size_t bytes = 16U << 20U; ///< of stored answers
  std::size_t waiters = 8;        ///< callers that join one running request
  std::size_t forwards = 4096;    ///< pending at a node that isn't the issuer
};

/// Largest number of tickets handed out at once.
constexpr std::uint32_t kMaxTicketsPerCall = 64;

struct TicketCounters
{
  std::uint64_t issued = 0;
  std::uint64_t started = 0;
  std::uint64_t joined = 0;   ///< resends that waited for the running request
  std::uint64_t repeated = 0; ///< resends that got the stored answer
  std::uint64_t dead = 0;     ///< tickets refused because they can't run
  std::uint64_t forwarded = 0;
  std::size_t records = 0;
  std::size_t bytes = 0;
  std::size_t pending = 0; ///< forwarded and not answered yet
};

/// What Tickets needs from its node.
class TicketIoI
{
public:
  using Done = std::function<void(QueryAnswer)>;
  virtual ~TicketIoI() = default;
  /// Runs a query here.
  virtual void run(QueryRequest aRequest, Done aDone) = 0;
  /// Sends a frame to the issuer.
  /// @returns false when no such host is known
  virtual bool forward(const std::string& aHost, TicketForward aForward) = 0;
  /// @returns how long the caller of a query waits
  virtual Duration deadlineOf(const QueryRequest& aRequest) const = 0;
};

/// Issues tickets, keeps a record of each one used, and forwards requests with
/// the tickets of other hosts. Safe from any thread.
///
/// A ticket is fresh until it is used, then running, then done with the stored
/// answer. An answer of not-run is stored too: the ticket never runs after a
/// caller was told so. Beyond the limits the oldest tickets become dead. A
/// dead ticket never runs; the outcome is `not-run` while it is certain that
/// it was never used, and `unknown` after that.
class Tickets
{
public:
  using Done = TicketIoI::Done;

  /// @param[in] aSecret seed of the random part of tickets
  Tickets(const ClockI& aClock,
          TicketIoI& aIo,
          std::string aHost,
          std::uint64_t aIncarnation,
          std::uint64_t aSecret,
          TicketLimits aLimits = {});

  /// @returns new tickets, at most kMaxTicketsPerCall
  std::vector<std::string> issue(std::uint32_t aCount);

  /// Takes a caller's request that carries a ticket.
  /// @param[in] aDone called once, at the latest at the caller's deadline plus
  ///            the period of sweep()
  void submit(QueryRequest aRequest, Done aDone);

  /// Takes a request that another node forwarded.
  void onForward(const TicketForward& aForward,
                 const std::function<void(TicketReply)>& aReply);
  /// Takes the issuer's answer; drops one that no caller waits for.
  void onReply(const std::string& aHost, TicketReply aReply);
  /// Ends what was forwarded to a host whose link is lost.
  void onLinkLost(const std::string& aHost);
  /// Ends expired waits and drops old records; called periodically.
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
  struct Pending
  {
    std::string host;
    Waiter waiter;
  };
  struct Issued
  {
    TimePoint at;
    std::uint64_t last = 0; ///< highest sequence issued until then
  };
  /// Answers to give once the mutex is released.
  using Replies = std::vector<std::pair<Done, QueryAnswer>>;

  std::uint64_t checkOf(std::uint64_t aSequence) const;
  void begin(const Ticket& aTicket, QueryRequest aRequest, Waiter aWaiter);
  /// @returns the answer when a ticket without a record can't start
  std::optional<QueryAnswer> refusal(const Ticket& aTicket);
  void finish(std::uint64_t aSequence, const QueryAnswer& aAnswer);
  void forward(const Ticket& aTicket,
               QueryRequest aRequest,
               const Waiter& aWaiter);
  void age(TimePoint aNow);
  void evict();
  static void giveAll(Replies& aReplies);

  const ClockI& m_clock;
  TicketIoI& m_io;
  const std::string m_host;
  const std::uint64_t m_incarnation;
  const std::uint64_t m_secret;
  const TicketLimits m_limits;
  mutable std::mutex m_mutex; ///< guards what follows
  std::uint64_t m_last = 0;   ///< highest sequence issued
  std::deque<Issued> m_issued;
  /// Sequences up to here can't start; up to m_keepFloor they have no record
  /// unless they still run, so nothing is known about them.
  std::uint64_t m_startFloor = 0;
  std::uint64_t m_keepFloor = 0;
  std::map<std::uint64_t, Record> m_records; ///< by sequence
  std::set<std::uint64_t> m_running;         ///< records that have no answer
  std::map<std::uint64_t, Pending> m_pending;
  std::uint64_t m_nextForward = 1;
  TicketCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TICKETS_P_H
