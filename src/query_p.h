#ifndef TOUCANRIDGE_QUERY_P_H
#define TOUCANRIDGE_QUERY_P_H

#include <map>
#include <memory>
#include <mutex>
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

private:
  struct Attempt
  {
    std::uint32_t number = 0;
    Target target;
    bool running = true;
  };
  struct Part
  {
    std::size_t service = 0; ///< index into RuleSet::services
    bool answered = false;
    bool mayHaveRun = false;
    std::string body;
    std::vector<Attempt> attempts;
  };
  /// Batches to send after the mutex is released, by host index.
  using Batches = std::map<std::uint32_t, SubBatch>;

  bool plan();
  void refuse(Errc aReason);
  bool attempt(std::uint32_t aPart, Batches& aBatches);
  void sendAll(Batches& aBatches);
  void fail(std::uint32_t aPart,
            Attempt& aAttempt,
            SubStatus aStatus,
            Errc aError,
            Batches& aBatches);
  /// Counts a lost server against the request.
  /// @returns true when the query must stop
  bool strike(const Part& aPart, const Attempt& aAttempt, Errc aError);
  bool mayRetry(const Part& aPart, SubStatus aStatus) const;
  bool isSettled() const;
  void onDeadline();
  /// Ends the query while attempts may run; releases aLock.
  void stop(Errc aReason, std::unique_lock<std::mutex>& aLock);
  /// Ends the query; the mutex is held by aLock and released.
  void finish(std::unique_lock<std::mutex>& aLock);
  QueryAnswer makeAnswer() const;
  Outcome outcome(const Coverage& aCoverage) const;

  QueryEngine& m_engine;
  const std::uint64_t m_id;
  const std::string m_requestId;
  const QueryRequest m_request;
  QueryEngine::Done m_done;

  std::mutex m_mutex;
  boost::asio::steady_timer m_deadlineTimer;
  ViewPtr m_view;
  ClassRule m_class;
  std::uint64_t m_snapshot = 0;
  std::uint64_t m_fingerprint = 0;
  TimePoint m_start;
  TimePoint m_deadline;
  std::vector<Part> m_parts;
  Errc m_error = Errc::Ok; ///< of the last failed attempt
  bool m_finished = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_QUERY_P_H
