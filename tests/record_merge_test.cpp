#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "record_merge_p.h"

using namespace toucanridge;

class RecordMergeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RecordMergeTest);
  CPPUNIT_TEST(keepsGreatestFirst);
  CPPUNIT_TEST(countsEqualRecords);
  CPPUNIT_TEST(ignoresRemainders);
  CPPUNIT_TEST(mergesInSteps);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against signed comparison of bytes: 0x80 is greater than 0x7f.
  void keepsGreatestFirst()
  {
    const std::string low = record('\x7f');
    const std::string high = record('\x80');
    const std::string body = low + high;
    CPPUNIT_ASSERT_EQUAL(high + low, mergeRecords({ body }, 5));
    CPPUNIT_ASSERT_EQUAL(high, mergeRecords({ body }, 1));
  }

  // Guards against a merge that drops one of two equal records.
  void countsEqualRecords()
  {
    const std::string one = record('a');
    CPPUNIT_ASSERT_EQUAL(one + one, mergeRecords({ one, one }, 5));
  }

  // Guards against using an incomplete record at the end of a part, and against
  // failing on parts without any record.
  void ignoresRemainders()
  {
    const std::string body = record('b') + "rest";
    CPPUNIT_ASSERT_EQUAL(record('b'), mergeRecords({ body, "", "x" }, 5));
    CPPUNIT_ASSERT_EQUAL(std::string(), mergeRecords({}, 5));
    CPPUNIT_ASSERT_EQUAL(std::string(), mergeRecords({ body }, 0));
  }

  // Guards against a relay whose merged part loses a record that belongs to
  // the answer: merging in steps must equal merging at once.
  void mergesInSteps()
  {
    for (unsigned seed = 1; seed <= 30; ++seed) {
      std::mt19937 random(seed);
      std::vector<std::string> parts(6);
      for (std::string& part : parts) {
        part.resize(kRecordBytes * (random() % 12));
        std::generate(part.begin(), part.end(), [&random] {
          return static_cast<char>(random() % 3 + 126);
        });
      }
      const std::size_t most = random() % 10 + 1;
      const std::string left =
        mergeRecords({ parts[0], parts[1], parts[2] }, most);
      const std::string right = mergeRecords({ parts[3], parts[4] }, most);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed),
        mergeRecords({ parts.begin(), parts.end() }, most),
        mergeRecords({ left, right, parts[5] }, most));
    }
  }

private:
  static std::string record(char aFill)
  {
    return std::string(kRecordBytes, aFill);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordMergeTest);
