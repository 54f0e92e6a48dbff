#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

#include "log_p.h"

using namespace toucanridge;

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(writesUtc);
  CPPUNIT_TEST(stampsLinesWhenTheyAreMade);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against local time marked as UTC: lines of hosts in different time
  // zones could not be ordered.
  void writesUtc()
  {
    const std::string file = logFile();
    setenv("TZ", "XXX-7", 1);
    tzset();
    logInit(file, LogLevel::Info);
    logWrite(LogLevel::Info, LogLine("started"));
    logStopWriter(); // log4cplus starts only once in a process
    unsetenv("TZ");
    tzset();
    const std::string line = readLines(file).at(0);
    // The minute may have changed since the line was written.
    std::time_t now = std::time(nullptr);
    bool found = false;
    for (int i = 0; i < 2; ++i, now -= 60) {
      std::tm utc{};
      gmtime_r(&now, &utc);
      char text[32];
      std::strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:", &utc);
      found = found || line.rfind(text, 0) == 0;
    }
    CPPUNIT_ASSERT_MESSAGE(line, found);
  }

  // Guards against lines that bear the time at which the writer's batch was
  // written, up to 50 ms later: lines of two hosts could not be ordered.
  void stampsLinesWhenTheyAreMade()
  {
    const std::string file = logFile();
    logInit(file, LogLevel::Info);
    const auto begin = std::chrono::steady_clock::now();
    logWrite(LogLevel::Info, LogLine("first"));
    // The writer takes the first line alone; the second waits for its interval.
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    logWrite(LogLevel::Info, LogLine("second"));
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    // Stopping the writer at once would end its interval early.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    logStopWriter();
    const std::vector<std::string> lines = readLines(file);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), lines.size());
    const int apart =
      (milliseconds(lines[1]) - milliseconds(lines[0]) + 60'000) % 60'000;
    CPPUNIT_ASSERT(std::chrono::milliseconds(apart) <=
                   elapsed + std::chrono::milliseconds(1));
  }

private:
  static std::string logFile()
  {
    return (std::filesystem::temp_directory_path() / "toucanridge_log_test.log")
      .string();
  }

  static std::vector<std::string> readLines(const std::string& aFile)
  {
    std::vector<std::string> lines;
    std::ifstream in(aFile);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    std::remove(aFile.c_str());
    return lines;
  }

  /// @returns the milliseconds in the minute of "time=2026-01-31T23:59:58.765Z"
  static int milliseconds(const std::string& aLine)
  {
    return std::stoi(aLine.substr(22, 2)) * 1000 +
           std::stoi(aLine.substr(25, 3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
