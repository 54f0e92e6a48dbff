#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>

#include "http_message_p.h"
#include "json_p.h"

using namespace toucanridge;

class JsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(survivesDeepNesting);
  CPPUNIT_TEST(saysWhereTheFaultIs);
  CPPUNIT_TEST(readsOnlyTheRightType);
  CPPUNIT_TEST(writesWhatItReads);
  CPPUNIT_TEST(decodesQueryParameters);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against deeply nested input that overflows the stack and crashes the
  // process.
  void survivesDeepNesting()
  {
    for (const char* level : { "[", R"({"a":)" }) {
      std::string text;
      for (int i = 0; i < 200'000; ++i) {
        text += level;
      }
      std::thread([&text] { CPPUNIT_ASSERT(!parseJson(text)); }).join();
    }
  }

  // Guards against an error message without the position of the error.
  void saysWhereTheFaultIs()
  {
    const auto parsed = parseJson(R"({"a":1,,})");
    CPPUNIT_ASSERT(!parsed);
    CPPUNIT_ASSERT(parsed.error().find("at byte 7") != std::string::npos);
    CPPUNIT_ASSERT(!parseJson(""));
  }

  // Guards against a failed assertion or a crash in RapidJSON when a member has
  // another type than the one asked for.
  void readsOnlyTheRightType()
  {
    const auto parsed = parseJson(R"({"text":"x","number":-3,"list":[1]})");
    CPPUNIT_ASSERT(parsed.has_value());
    const Json& body = *parsed;
    CPPUNIT_ASSERT_EQUAL(std::string("x"), jsonText(body, "text"));
    CPPUNIT_ASSERT_EQUAL(std::string(), jsonText(body, "number"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), jsonUnsigned(body, "number"));
    CPPUNIT_ASSERT_EQUAL(-3.0, jsonNumber(body, "number", 1.0));
    CPPUNIT_ASSERT_EQUAL(1.0, jsonNumber(body, "list", 1.0));
    CPPUNIT_ASSERT_EQUAL(1U, jsonArray(body, "list").Size());
    CPPUNIT_ASSERT(jsonArray(body, "text").Empty());
    CPPUNIT_ASSERT(jsonMember(body["list"], "text") == nullptr);
  }

  // Guards against names, strings and numbers that change when they are written
  // and read again.
  void writesWhatItReads()
  {
    const std::string special = "a\"\\\n\x01";
    JsonWriter writer;
    writer.beginObject();
    writer.text(special, special);
    writer.number("n", std::uint64_t(18'000'000'000'000'000'000U));
    writer.beginArray("list");
    writer.element(special);
    writer.endArray();
    writer.endObject();
    const auto parsed = parseJson(writer.str());
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(special, jsonText(*parsed, special.c_str()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(18'000'000'000'000'000'000U),
                         jsonUnsigned(*parsed, "n"));
    CPPUNIT_ASSERT_EQUAL(writer.str(), jsonSerialize(*parsed));
  }

  // Guards against taking a parameter's value from the name or the value of
  // another parameter.
  void decodesQueryParameters()
  {
    const std::string special = "a b&c=d%/\xc3\xa9";
    const std::string target =
      "/x?other=name=no&name=" + percentEncode(special);
    CPPUNIT_ASSERT_EQUAL(special, queryParameter(target, "name").value());
    CPPUNIT_ASSERT_EQUAL(std::string("name=no"),
                         queryParameter(target, "other").value());
    CPPUNIT_ASSERT(!queryParameter(target, "x"));
    CPPUNIT_ASSERT(!queryParameter("/x", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string(), queryParameter("/?a&b", "a").value());
    CPPUNIT_ASSERT_EQUAL(std::string("%zz%4"), percentDecode("%zz%4"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
