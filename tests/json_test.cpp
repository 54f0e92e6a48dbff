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
  // Guards against input whose nesting exhausts the stack and ends the process.
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

  void saysWhereTheFaultIs()
  {
    const auto parsed = parseJson(R"({"a":1,,})");
    CPPUNIT_ASSERT(!parsed);
    CPPUNIT_ASSERT(parsed.error().find("at byte 7") != std::string::npos);
    CPPUNIT_ASSERT(!parseJson(""));
  }

  // Guards against an assertion or a crash on members of another type.
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

  void writesWhatItReads()
  {
    const std::string odd = "a\"\\\n\x01";
    JsonWriter out;
    out.beginObject();
    out.text(odd, odd);
    out.number("n", std::uint64_t(18'000'000'000'000'000'000U));
    out.beginArray("list");
    out.element(odd);
    out.endArray();
    out.endObject();
    const auto parsed = parseJson(out.str());
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(odd, jsonText(*parsed, odd.c_str()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(18'000'000'000'000'000'000U),
                         jsonUnsigned(*parsed, "n"));
    CPPUNIT_ASSERT_EQUAL(out.str(), jsonSerialize(*parsed));
  }

  // Guards against a parameter that is read from another one's name or value.
  void decodesQueryParameters()
  {
    const std::string odd = "a b&c=d%/\xc3\xa9";
    const std::string target = "/x?other=name=no&name=" + percentEncode(odd);
    CPPUNIT_ASSERT_EQUAL(odd, queryParameter(target, "name").value());
    CPPUNIT_ASSERT_EQUAL(std::string("name=no"),
                         queryParameter(target, "other").value());
    CPPUNIT_ASSERT(!queryParameter(target, "x"));
    CPPUNIT_ASSERT(!queryParameter("/x", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string(), queryParameter("/?a&b", "a").value());
    CPPUNIT_ASSERT_EQUAL(std::string("%zz%4"), percentDecode("%zz%4"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
