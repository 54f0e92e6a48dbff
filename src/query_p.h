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

/// One running query. Its methods are called from any traffic thread.
class Query : public std::enable_shared_from_this<Query>
{
public:
  Query(QueryEngine& aEngine,
        std::uint64_t aId,
        std::string aRequestId,
        QueryRequest aRequest,
        QueryEngine::Done aDone);

  /// Plans and sends the first attempts.
  void start();
  void onReply(const std::string& aHost, const SubReply& aReply);
  void onLinkLost(const std::string& aHost, bool aUnsent);
  /// Does what is due by the clock: deadline, early answer, hedges, retries.
  void onTimer();

private:
  enum class Kind : std::uint8_t
  {
    First,
    Retry,
    Hedge,
  };
  struct Attempt
  {
    std::uint32_t number = 0;
    Target target;
    Kind kind = Kind::First;
    TimePoint sent;
    bool running = true;
  };
  struct Part
  {
    std::size_t service = 0; ///< index into RuleSet::services
    bool answered = false;
    bool mayHaveRun = false;
    bool hedged = false;
    std::uint32_t serverAttempts = 0; ///< that cost a server work
    std::uint32_t waits = 0;          ///< pauses before a retry so far
    std::optional<TimePoint> retryAt; ///< end of such a pause
    std::string body;
    std::vector<Attempt> attempts;
    SlotChooser::Limits limits;
  };
  /// Batches to send after the mutex is released, by host index.
  using Batches = std::map<std::uint32_t, SubBatch>;

  /// How an attempt failed.
  struct Failure
  {
    SubStatus status = SubStatus::Lost;
    Errc error = Errc::Ok;
    bool reachedServer = true;
  };

  bool plan();
  void sendFirst(Batches& aBatches);
  bool attempt(std::uint32_t aPart, Kind aKind, Batches& aBatches);
  void sendAll(Batches& aBatches);
  void fail(std::uint32_t aPart,
            std::size_t aIndex,
            const Failure& aFailure,
            Batches& aBatches);
  void retry(std::uint32_t aPart, const Failure& aFailure, Batches& aBatches);
  void pause(Part& aPart);
  void takeAnswer(std::uint32_t aPart, std::size_t aIndex, std::string aBody);
  void release(const Part& aPart, Attempt& aAttempt, std::uint32_t aQueued);
  bool isSettled() const;
  void expire(Errc aReason);
  /// Ends the query while attempts may run; releases aLock.
  void stop(Errc aReason, std::unique_lock<std::mutex>& aLock);
  /// Counts a lost server against the request.
  /// @returns true when the query must stop
  bool strike(const Part& aPart, const Attempt& aAttempt, Errc aError);
  void arm();

  // query_timing.cpp
  std::optional<TimePoint> hedgeDue(const Part& aPart) const;
  std::optional<TimePoint> earlyDue() const;
  TimePoint nextDue() const;
  void runDue(TimePoint aNow, Batches& aBatches);
  bool startOver(Batches& aBatches);
  /// Ends the query; the mutex is held by aLock and released.
  void finish(std::unique_lock<std::mutex>& aLock);
  std::set<std::uint32_t> releaseAll();
  std::string lacking() const;
  QueryAnswer makeAnswer() const;
  Outcome outcome(const Coverage& aCoverage) const;

  QueryEngine& m_engine;
  const std::uint64_t m_id;
  const std::string m_requestId;
  const QueryRequest m_request;
  QueryEngine::Done m_done;
  std::shared_ptr<ClassState> m_learnt;

  std::mutex m_mutex;
  boost::asio::steady_timer m_timer;
  ViewPtr m_view;
  ClassRule m_class;
  std::uint64_t m_snapshot = 0;
  std::uint64_t m_fingerprint = 0;
  TimePoint m_start;
  TimePoint m_deadline;
  TimePoint m_armed = TimePoint::max(); ///< when the timer fires
  std::optional<Duration> m_hedgeDelay;
  /// Number of the first attempt at each part; rises when the query starts
  /// over, so that replies to earlier attempts match none.
  std::uint32_t m_firstNumber = 0;
  bool m_startedOver = false;
  bool m_early = false;
  std::vector<Part> m_parts;
  Errc m_error = Errc::Ok; ///< of the last failed attempt
  bool m_finished = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_P_H
