#include "log_p.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

namespace toucanridge {
namespace {

constexpr std::size_t kMaxQueuedLines = 65536;
constexpr std::chrono::milliseconds kBatchInterval{ 50 };

struct QueuedLine
{
  LogLevel level;
  std::string text;
  std::chrono::system_clock::time_point time; ///< of the decision it tells of
};

log4cplus::LogLevel
toLog4cplus(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// Writes lines through log4cplus on its own thread, from a bounded queue. The
/// asynchronous appender of log4cplus blocks the caller when its queue is full.
class LogWriter
{
public:
  LogWriter(const std::string& aFile, LogLevel aLevel)
    : m_level(aLevel)
    , m_logger(log4cplus::Logger::getInstance("toucanridge"))
  {
    log4cplus::SharedAppenderPtr appender;
    if (aFile.empty() || aFile == kLogToStdout) {
      const bool toStderr = aFile.empty();
      appender = new log4cplus::ConsoleAppender(toStderr, false);
    } else {
      appender = new log4cplus::FileAppender(aFile, std::ios_base::app, true);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    m_logger.removeAllAppenders();
    m_logger.addAppender(appender);
    m_logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    m_thread = std::thread([this] { run(); });
  }

  ~LogWriter()
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
    m_logger.removeAllAppenders();
  }

  LogLevel level() const { return m_level; }

  /// @returns false when the queue is full
  bool push(QueuedLine aLine)
  {
    bool wasEmpty = false;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_queue.size() >= kMaxQueuedLines) {
        return false;
      }
      wasEmpty = m_queue.empty();
      m_queue.push_back(std::move(aLine));
    }
    if (wasEmpty) {
      m_wake.notify_one();
    }
    return true;
  }

private:
  /// Keeps the time at which the line was made; Logger::log() would use the
  /// time of writing.
  void write(const QueuedLine& aLine)
  {
    const log4cplus::spi::InternalLoggingEvent event(
      m_logger.getName(),
      toLog4cplus(aLine.level),
      {},
      {},
      aLine.text,
      {},
      {},
      std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(
        aLine.time),
      {},
      0,
      {});
    m_logger.callAppenders(event);
  }

  void run()
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
      m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
      if (m_queue.empty()) {
        return;
      }
      std::vector<QueuedLine> batch;
      batch.swap(m_queue);
      lock.unlock();
      for (const QueuedLine& line : batch) {
        write(line);
      }
      // The appender doesn't flush the stream; lines in its buffer are lost
      // when the process is killed.
      std::cout.flush();
      lock.lock();
      // Lines queued during this interval share one wake-up and one write.
      m_wake.wait_for(lock, kBatchInterval, [this] { return m_stopping; });
    }
  }

  LogLevel m_level;
  log4cplus::Logger m_logger;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<QueuedLine> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

std::unique_ptr<log4cplus::Initializer> gInitializer;
std::unique_ptr<LogWriter> gLogWriter;
std::atomic<std::uint64_t> gDropped{ 0 };

} // namespace

LogLine&
LogLine::addText(const char* aKey, const std::string& aValue)
{
  m_out << ' ' << aKey << '=' << std::quoted(aValue);
  return *this;
}

void
logInit(const std::string& aFile, LogLevel aLevel)
{
  gInitializer = std::make_unique<log4cplus::Initializer>();
  gLogWriter = std::make_unique<LogWriter>(aFile, aLevel);
}

void
logStopWriter()
{
  gLogWriter.reset();
}

void
logShutdown()
{
  logStopWriter();
  gInitializer.reset();
}

bool
logEnabled(LogLevel aLevel)
{
  return gLogWriter && aLevel >= gLogWriter->level();
}

void
logWrite(LogLevel aLevel, const LogLine& aLine)
{
  if (!logEnabled(aLevel)) {
    return;
  }
  if (!gLogWriter->push(
        { aLevel, aLine.str(), std::chrono::system_clock::now() })) {
    ++gDropped;
  }
}

std::uint64_t
logDropped()
{
  return gDropped;
}

} // namespace toucanridge
