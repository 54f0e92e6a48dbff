#ifndef TOUCANRIDGE_HTTP_THREAD_P_H
#define TOUCANRIDGE_HTTP_THREAD_P_H

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace toucanridge {

/// An io_context and the thread that runs it. HTTP sessions and pools aren't
/// thread-safe and rely on there being only one.
class HttpThread
{
public:
  HttpThread()
    : m_work(m_context.get_executor())
    , m_thread([this] { m_context.run(); })
  {
  }
  ~HttpThread() { shutdown(); }
  HttpThread(const HttpThread&) = delete;
  HttpThread& operator=(const HttpThread&) = delete;

  boost::asio::io_context& context() { return m_context; }

  /// Stops the io_context and joins the thread; pending handlers aren't called.
  void shutdown()
  {
    m_work.reset();
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

private:
  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    m_work;
  std::thread m_thread; ///< last, as it uses the members above
};

} // namespace toucanridge

#endif // TOUCANRIDGE_HTTP_THREAD_P_H
