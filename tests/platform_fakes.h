#ifndef TOUCANRIDGE_PLATFORM_FAKES_H
#define TOUCANRIDGE_PLATFORM_FAKES_H

/// Fakes of the platform for tests: its store and its backend servers, which
/// listen on real sockets and run on one thread.

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include "http_client_p.h"
#include "http_server_p.h"

namespace toucanridge {

/// The thread on which the fakes and the callers run.
class IoThread
{
public:
  IoThread()
    : m_work(m_context.get_executor())
    , m_thread([this] { m_context.run(); })
  {
  }
  ~IoThread()
  {
    m_context.stop();
    m_thread.join();
  }

  boost::asio::io_context& context() { return m_context; }

  /// Runs a function on the thread and waits for it.
  template<class Function>
  auto sync(Function aFunction)
  {
    std::packaged_task<decltype(aFunction())()> task(std::move(aFunction));
    auto result = task.get_future();
    boost::asio::post(m_context, [&task] { task(); });
    return result.get();
  }

private:
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  std::thread m_thread;
};

/// Fake of the platform's store: items by key, with range reads and watches.
class FakeStore
{
public:
  FakeStore(IoThread& aThread, std::string aAddress, std::uint16_t aPort)
    : m_thread(aThread)
    , m_server(aThread.context(),
               m_clock,
               [this](const HttpExchangePtr& aExchange) { serve(aExchange); })
  {
    m_thread.sync([&] { return m_server.init(aAddress, aPort); });
  }
  ~FakeStore()
  {
    m_thread.sync([this] {
      m_watches.clear();
      m_server.shutdown();
      return 0;
    });
    m_thread.sync([] { return 0; });
  }

  void put(const std::string& aKey, const std::string& aValue)
  {
    change(aKey, aValue, false);
  }
  void remove(const std::string& aKey) { change(aKey, {}, true); }
  /// While the store is down, calls get no answer.
  void setDown(bool aDown)
  {
    m_thread.sync([this, aDown] {
      m_down = aDown;
      if (aDown) {
        m_watches.clear();
      }
      return 0;
    });
  }
  /// Copies the items, for restore().
  void backUp()
  {
    m_thread.sync([this] {
      m_copy = m_items;
      m_copyRevision = m_revision;
      return 0;
    });
  }
  /// Returns to the copy: later changes are lost and their revisions are given
  /// out again.
  void restore()
  {
    m_thread.sync([this] {
      m_items = m_copy;
      m_revision = m_copyRevision;
      ++m_epoch;
      m_watches.clear();
      return 0;
    });
  }
  /// @returns the number of calls so far
  int calls() const { return m_calls; }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  struct Watch
  {
    HttpExchangePtr exchange;
    std::uint64_t after = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void change(const std::string& aKey, const std::string& aValue, bool aDeleted)
  {
    m_thread.sync([&] {
      m_items[aKey] = { aValue, ++m_revision, aDeleted };
      std::list<Watch> watches;
      watches.swap(m_watches);
      for (Watch& watch : watches) {
        reply(watch.exchange, events(watch.after));
      }
      return 0;
    });
  }

  void serve(const HttpExchangePtr& aExchange)
  {
    ++m_calls;
    const std::string target(aExchange->request().target());
    if (m_down) {
      m_unanswered.push_back(aExchange);
    } else if (target.find("/kv-range") == 0) {
      reply(aExchange, makeList("items", 0, false));
    } else {
      const std::uint64_t after = queryNumber(target, "after=");
      if (after > m_revision) {
        reply(aExchange, makeResponse(410, ""));
        return;
      }
      if (m_revision > after) {
        reply(aExchange, events(after));
        return;
      }
      auto timer = std::make_shared<boost::asio::steady_timer>(
        m_thread.context(),
        std::chrono::milliseconds(queryNumber(target, "wait_ms=")));
      timer->async_wait([this, aExchange, after](auto aError) {
        if (!aError && !m_down) {
          reply(aExchange, events(after));
        }
      });
      m_watches.push_back({ aExchange, after, timer });
    }
  }

  void reply(const HttpExchangePtr& aExchange, HttpResponse aResponse) const
  {
    aResponse.set("Store-Era", std::to_string(m_epoch));
    aExchange->reply(std::move(aResponse));
  }

  HttpResponse events(std::uint64_t aAfter)
  {
    return makeList("events", aAfter, true);
  }

  HttpResponse makeList(const char* aList,
                        std::uint64_t aAfter,
                        bool aWithDeleted)
  {
    std::string list;
    for (const auto& [key, item] : m_items) {
      if (item.revision <= aAfter || (item.deleted && !aWithDeleted)) {
        continue;
      }
      list += list.empty() ? "" : ",";
      list += "{\"key\":\"" + key +
              "\",\"revision\":" + std::to_string(item.revision);
      list += item.deleted ? ",\"deleted\":true}"
                           : ",\"value\":\"" + encodeBase64(item.value) + "\"}";
    }
    return makeResponse(200,
                        "{\"" + std::string(aList) + "\":[" + list +
                          "],\"has_more\":false,\"current_rev\":" +
                          std::to_string(m_revision) + "}");
  }

  static std::string encodeBase64(const std::string& aBytes)
  {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(aBytes.size()), '\0');
    text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
    return text;
  }

  static std::uint64_t queryNumber(const std::string& aTarget,
                                   const char* aName)
  {
    return std::stoull(
      aTarget.substr(aTarget.find(aName) + std::string(aName).size()));
  }

  IoThread& m_thread;
  SystemClock m_clock;
  HttpServer m_server;
  std::map<std::string, Item> m_items;
  std::uint64_t m_revision = 1;
  std::uint64_t m_epoch = 1; ///< rises with each restore()
  std::map<std::string, Item> m_copy;
  std::uint64_t m_copyRevision = 1;
  std::list<Watch> m_watches;
  std::vector<HttpExchangePtr> m_unanswered;
  std::atomic<int> m_calls{ 0 };
  bool m_down = false;
};

/// Fake of a backend server.
class FakeServer
{
public:
  enum class Mode
  {
    Serving,
    Silent,        ///< runs requests and never answers
    Shedding,      ///< refuses requests without running them
    Disconnecting, ///< runs requests and closes the connection
    Failing,       ///< runs requests and answers 500
  };

  FakeServer(IoThread& aThread,
             std::string aId,
             const std::string& aAddress,
             std::uint16_t aPort,
             std::string aBody)
    : id(std::move(aId))
    , body(std::move(aBody))
    , m_address(aAddress)
    , m_port(aPort)
    , m_thread(aThread)
  {
    m_thread.sync([this] {
      listen();
      return 0;
    });
  }
  ~FakeServer()
  {
    m_thread.sync([this] {
      m_held.clear();
      m_server->shutdown();
      return 0;
    });
    // Handlers that the shutdown cancelled run before the server is destroyed.
    m_thread.sync([] { return 0; });
  }

  const std::string id;
  const std::string body;
  std::atomic<Mode> mode{ Mode::Serving };
  std::atomic<int> delayMs{ 0 };
  std::atomic<int> ran{ 0 }; ///< requests
  /// Requests whose target contains "crash"; each ends the server for a moment.
  std::atomic<int> crashes{ 0 };
  /// Requests a second that the answers state as the server's limit; 0: none.
  std::atomic<double> limit{ 0.0 };
  std::atomic<bool> leaving{ false }; ///< stated in the answers
  std::atomic<int> retryAfterS{ 0 };  ///< stated in refusals; 0: not stated

  /// @returns the most requests in a window of that length since a time
  std::size_t mostIn(std::chrono::milliseconds aWindow, TimePoint aSince) const
  {
    const std::vector<TimePoint> times =
      m_thread.sync([this] { return m_arrivals; });
    std::size_t most = 0;
    for (auto last = times.begin(); last != times.end(); ++last) {
      const auto first = std::upper_bound(
        times.begin(), last, std::max(aSince, *last - aWindow));
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

private:
  void serve(const HttpExchangePtr& aExchange)
  {
    m_arrivals.push_back(m_clock.now());
    const auto& fields = aExchange->request().base();
    if (headerValue(fields, "Target-Instance") != id) {
      aExchange->reply(makeResponse(421, ""));
      return;
    }
    if (mode == Mode::Shedding) {
      HttpResponse refusal = makeResponse(503, "full");
      refusal.set("Not-Executed", "1");
      if (retryAfterS > 0) {
        refusal.set("Retry-After", std::to_string(retryAfterS.load()));
      }
      aExchange->reply(std::move(refusal));
      return;
    }
    const auto target = aExchange->request().target();
    if (target.find("crash") != boost::beast::string_view::npos) {
      crash();
      return;
    }
    ++ran;
    if (mode == Mode::Silent || mode == Mode::Disconnecting) {
      m_held.push_back(aExchange);
      if (mode == Mode::Disconnecting) {
        m_server->shutdown();
      }
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
      m_thread.context(), std::chrono::milliseconds(delayMs.load()));
    timer->async_wait([this, aExchange, timer](auto) { answer(aExchange); });
  }

  void listen()
  {
    m_server = std::make_unique<HttpServer>(
      m_thread.context(), m_clock, [this](const HttpExchangePtr& aExchange) {
        serve(aExchange);
      });
    m_server->init(m_address, m_port);
  }

  /// Closes all connections, and listens again after a moment.
  void crash()
  {
    ++crashes;
    m_server->shutdown();
    auto timer = std::make_shared<boost::asio::steady_timer>(
      m_thread.context(), std::chrono::milliseconds(200));
    timer->async_wait([this, timer](auto) { listen(); });
  }

  void answer(const HttpExchangePtr& aExchange)
  {
    const std::string request(
      headerValue(aExchange->request().base(), "Request-Id"));
    HttpResponse response =
      makeResponse(mode == Mode::Failing ? 500 : 200, body);
    response.set("Request-Id", request);
    response.set("Server-Stamp", id + "." + request);
    if (leaving) {
      response.set("Server-Leaving", "1");
    }
    if (limit > 0.0) {
      response.set("Server-Limit", std::to_string(limit));
    }
    aExchange->reply(std::move(response));
  }

  const std::string m_address;
  const std::uint16_t m_port;
  IoThread& m_thread;
  SystemClock m_clock;
  std::unique_ptr<HttpServer> m_server;
  std::vector<HttpExchangePtr> m_held;
  std::vector<TimePoint> m_arrivals; ///< of requests
};

} // namespace toucanridge

#endif // TOUCANRIDGE_PLATFORM_FAKES_H
