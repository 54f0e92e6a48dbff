#ifndef TOUCANRIDGE_QUERY_P_H
#define TOUCANRIDGE_QUERY_P_H

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "query_engine_p.h"

namespace toucanridge {

/// One running query. Any traffic thread may call its methods.
class Query : public std::enable_shared_from_this<Query>
{
public:
  Query(QueryEngine& aEngine,
        std::uint64_t aId,
        std::string aRequestId,
        QueryRequest aRequest,
        QueryEngine::DoneCallback aDone);

  /// Plans the query and sends the first attempts.
  void start();
  /// Handles a holder's reply; one that matches no running attempt is dropped
  /// and counted.
  void onReply(const std::string& aHost, const SubReply& aReply);
  /// Fails the running attempts at a host whose link is lost.
  /// @param[in] aUnsent the query's batch for the host was never written
  void onLinkLost(const std::string& aHost, bool aUnsent);
  /// Handles what is due: the deadline, an early answer, hedges, retries.
  void onTimer();

private:
  enum class AttemptKind : std::uint8_t
  {
    First,
    Retry,
    Hedge,
  };
  /// One sub-request, sent to one holder for one server.
  struct Attempt
  {
    std::uint32_t number = 0;
    Target target;
    AttemptKind kind = AttemptKind::First;
    TimePoint sent;
    bool running = true;
  };
  /// The share of the query that one service answers.
  struct Part
  {
    std::size_t service = 0; ///< index into RuleSet::services
    bool answered = false;
    bool mayHaveRun = false; ///< a server may have run a failed attempt
    bool hedged = false;     ///< a hedge was sent, denied or impossible
    /// Failed attempts that a server received, not counting refusals with 409
    /// (no such snapshot).
    std::uint32_t serverAttempts = 0;
    std::uint32_t backoffs = 0;       ///< scheduled so far
    std::optional<TimePoint> retryAt; ///< end of the current backoff
    std::string body;
    std::vector<Attempt> attempts;
    SlotChooser::Constraints constraints;
  };
  /// Batches to send once the mutex is released, by host index.
  using Batches = std::map<std::uint32_t, SubBatch>;

  /// How an attempt failed.
  struct Failure
  {
    SubStatus status = SubStatus::Lost;
    Errc error = Errc::Ok;
    bool reachedServer = true;
  };

  bool plan();
  void sendFirstAttempts(Batches& aBatches);
  bool startAttempt(std::uint32_t aPart, AttemptKind aKind, Batches& aBatches);
  void sendBatches(Batches& aBatches);
  void onAttemptFailed(std::uint32_t aPart,
                       std::size_t aIndex,
                       const Failure& aFailure,
                       Batches& aBatches);
  void retry(std::uint32_t aPart, const Failure& aFailure, Batches& aBatches);
  void scheduleBackoff(Part& aPart);
  void acceptReply(std::uint32_t aPart, std::size_t aIndex, std::string aBody);
  void releaseAttempt(const Part& aPart,
                      Attempt& aAttempt,
                      std::uint32_t aQueued);
  bool isComplete() const;
  void markUnfinished(Errc aReason);
  /// Ends the query while attempts may run; releases aLock.
  void stop(Errc aReason, std::unique_lock<std::mutex>& aLock);
  /// Records in the quarantine that a server was lost while it ran the request.
  /// @returns true when the request is quarantined and the query must stop
  bool recordStrike(const Part& aPart, const Attempt& aAttempt, Errc aError);
  void armTimer();

  // Defined in query_timing.cpp.
  std::optional<TimePoint> hedgeDue(const Part& aPart) const;
  std::optional<TimePoint> earlyDue() const;
  TimePoint nextDue() const;
  void sendDueAttempts(TimePoint aNow, Batches& aBatches);
  bool startOver(Batches& aBatches);

  // Defined in query.cpp.
  /// Ends the query; the mutex is held by aLock and released.
  void finish(std::unique_lock<std::mutex>& aLock);
  std::set<std::uint32_t> releaseAllAttempts();
  std::string missingServices() const;
  QueryAnswer makeAnswer() const;
  Outcome outcome(const Coverage& aCoverage) const;

  QueryEngine& m_engine;
  const std::uint64_t m_id;
  const std::string m_requestId;
  const QueryRequest m_request;
  QueryEngine::DoneCallback m_done;
  std::shared_ptr<ClassState> m_classState;

  std::mutex m_mutex;
  boost::asio::steady_timer m_timer;
  ViewPtr m_view;
  ClassRule m_class;
  std::uint64_t m_snapshot = 0;
  std::uint64_t m_fingerprint = 0;
  TimePoint m_start;
  TimePoint m_deadline;
  TimePoint m_timerDue = TimePoint::max(); ///< when the timer expires
  std::optional<Duration> m_hedgeDelay;    ///< nothing: send no hedge
  /// Number of the first attempt at each part; rises when the query starts
  /// over, so that replies to earlier attempts match none.
  std::uint32_t m_firstNumber = 0;
  bool m_startedOver = false;
  bool m_answeredEarly = false;
  std::vector<Part> m_parts;
  /// Error of the last failed attempt, or why the query was refused or ended.
  Errc m_error = Errc::Ok;
  bool m_finished = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_P_H
