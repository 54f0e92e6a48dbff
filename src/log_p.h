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

/// Builds one key=value line; the event's name comes first.
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

  /// Adds a value that may hold spaces, quoted.
  LogLine& addText(const char* aKey, const std::string& aValue);

  std::string str() const { return m_out.str(); }

private:
  std::ostringstream m_out;
};

/// File name that stands for standard output.
constexpr const char* kLogToOutput = "-";

/// Starts the log's writer thread.
/// @param[in] aFile path of the log file; empty for standard error,
///            kLogToOutput for standard output
/// @param[in] aLevel lines below this level are not written
void
logInit(const std::string& aFile, LogLevel aLevel);

/// Writes what is queued and ends the writer thread.
void
logShutdown();

/// Writes what is queued; later lines are not written.
void
logFlush();

/// @returns true when lines of that level are written
bool
logEnabled(LogLevel aLevel);

/// Queues a line; drops and counts it when the queue is full, so that a slow
/// disk or terminal never delays a query.
void
logWrite(LogLevel aLevel, const LogLine& aLine);

/// @returns lines dropped because the queue was full
std::uint64_t
logDropped();

} // namespace toucanridge

#endif // TOUCANRIDGE_LOG_P_H
