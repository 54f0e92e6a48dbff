#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>

#include "log_p.h"

using namespace toucanridge;

class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(writesUtc);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against local time marked as UTC: lines of hosts in different time
  // zones could not be ordered.
  void writesUtc()
  {
    const std::string file =
      (std::filesystem::temp_directory_path() / "toucanridge_log_test.log")
        .string();
    setenv("TZ", "XXX-7", 1);
    tzset();
    logInit(file, LogLevel::Info);
    logWrite(LogLevel::Info, LogLine("started"));
    logShutdown();
    unsetenv("TZ");
    tzset();
    std::string line;
    std::getline(std::ifstream(file), line);
    std::remove(file.c_str());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
