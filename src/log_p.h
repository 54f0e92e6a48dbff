#ifndef TOUCANRIDGE_LOG_P_H
#define TOUCANRIDGE_LOG_P_H

#include <cstdint>
#include <sstream>
#include <string>

namespace toucanridge {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
};

/// Builds one line of key=value pairs; the first is the event's name.
class LogLine
{
public:
  explicit LogLine(const char* aEvent) { m_out << "event=" << aEvent; }

  template<class T>
  LogLine& add(const char* aKey, const T& aValue)
  {
    m_out << ' ' << aKey << '=' << aValue;
    return *this;
  }

  /// Adds a value in quotes, for text that may contain spaces.
  LogLine& addText(const char* aKey, const std::string& aValue);

  std::string str() const { return m_out.str(); }

private:
  std::ostringstream m_out;
};

/// File name that selects standard output.
constexpr const char* kLogToStdout = "-";

/// Starts the log's writer thread.
/// @param[in] aFile path of the log file; empty for standard error,
///            kLogToStdout for standard output
/// @param[in] aLevel lines below this level are not written
void
logInit(const std::string& aFile, LogLevel aLevel);

/// Like logStopWriter(), and also shuts down log4cplus.
void
logShutdown();

/// Writes all queued lines and ends the writer thread; later lines are
/// discarded.
void
logStopWriter();

/// @returns true when lines of that level are written
bool
logEnabled(LogLevel aLevel);

/// Queues a line for the writer thread; never blocks on output. When the queue
/// is full, the line is dropped and counted, so that a slow disk or terminal
/// delays no query.
void
logWrite(LogLevel aLevel, const LogLine& aLine);

/// @returns lines dropped because the queue was full
std::uint64_t
logDropped();

} // namespace toucanridge

#endif // TOUCANRIDGE_LOG_P_H
