#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "commands_p.h"

using namespace toucanridge;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/// Captures what is written to a stream during its lifetime.
class Capture
{
public:
  explicit Capture(std::ostream& aStream)
    : m_stream(aStream)
    , m_previousBuffer(aStream.rdbuf(m_text.rdbuf()))
  {
  }
  ~Capture() { m_stream.rdbuf(m_previousBuffer); }
  std::string str() const { return m_text.str(); }

private:
  std::ostringstream m_text;
  std::ostream& m_stream;
  std::streambuf* m_previousBuffer;
};

/// A node that answers each path with a fixed text. Queries are answered with
/// the constructor's argument; when it is empty, the connection is closed
/// without an answer.
class FakeNode
{
public:
  explicit FakeNode(std::string aQueryAnswer)
    : m_queryAnswer(std::move(aQueryAnswer))
    , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_thread([this] { serve(); })
  {
  }

  ~FakeNode()
  {
    m_stopping = true;
    tcp::socket unblocker(m_context);
    beast::error_code ignored;
    unblocker.connect(m_acceptor.local_endpoint(), ignored);
    // Unblocks accept(). The thread reads from this connection until it is
    // closed.
    unblocker.close(ignored);
    m_thread.join();
  }

  std::string port() const
  {
    return std::to_string(m_acceptor.local_endpoint().port());
  }
  std::string address() const { return "127.0.0.1:" + port(); }

private:
  std::string responseBody(const std::string& aTarget) const
  {
    if (aTarget.rfind("/v1/addresses", 0) == 0) {
      return R"({"valid_ms":1000,"addresses":[{"address":"127.0.0.1","port":)" +
             port() + "}]}";
    }
    if (aTarget.rfind("/v1/status", 0) == 0) {
      return R"({"host":"dc-a-1","view":{"rules_revision":4,"hosts":[{"host":)"
             R"("dc-a-1","address":"127.0.0.1","http_port":)" +
             port() + R"(}],"data_centres":[{"data_centre":"dc-a",)" +
             R"("in_service":false,"line":3,"asked_by":"X"}]},)" +
             R"("quarantine":["1f2e3d4c5b6a7988"]})";
    }
    if (aTarget == "/v1/explain?request_id=dc-a-1-9f-2") {
      return R"({"request_id":"dc-a-1-9f-2","revision":4,"rules":)"
             R"([{"line":3,"text":"class c","asked_by":"X"}]})";
    }
    return m_queryAnswer;
  }

  void serve()
  {
    while (!m_stopping) {
      tcp::socket socket(m_context);
      beast::error_code error;
      m_acceptor.accept(socket, error);
      beast::flat_buffer buffer;
      http::request<http::string_body> request;
      http::read(socket, buffer, request, error);
      const std::string text = responseBody(std::string(request.target()));
      if (!error && !text.empty()) {
        http::response<http::string_body> response(http::status::ok, 11);
        response.body() = text;
        response.keep_alive(false);
        response.prepare_payload();
        http::write(socket, response, error);
      }
    }
  }

  std::string m_queryAnswer;
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_stopping{ false };
  std::thread m_thread;
};

std::string
answerWithOutcome(const std::string& aOutcome)
{
  return R"({"request_id":"dc-a-1-9f-2","outcome":")" + aOutcome +
         R"(","reason":"","coverage":{"answered":1,"total":2},"snapshot":7,)"
         R"("revision":4,"rules":[],"parts":[{"service":"s/01","body":"x"}]})";
}

int
queryExitCode(const std::string& aAnswer)
{
  const FakeNode node(aAnswer);
  const Capture out(std::cout);
  return commandQuery(
    { "--entry", node.address(), "--class", "c", "--body", "b" });
}

const Arguments kNodeArguments = {
  "--host",      "h",         "--data-centre", "d",
  "--address",   "127.0.0.1", "--http-port",   "8000",
  "--peer-port", "8001",      "--platform",    "http://127.0.0.1:1"
};

/// Runs `node` with invalid settings and checks that it exits with a usage
/// error of one line that contains aExpected.
void
expectUsageError(const Arguments& aArguments, const std::string& aExpected)
{
  const Capture err(std::cerr);
  CPPUNIT_ASSERT_EQUAL(int(kExitUsage), commandNode(aArguments));
  const std::string text = err.str();
  CPPUNIT_ASSERT_MESSAGE(text, text.find(aExpected) != std::string::npos);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, text.size() - 1, text.find('\n'));
}

Arguments
withFlag(const std::string& aName, const std::string& aValue)
{
  Arguments arguments = kNodeArguments;
  for (std::size_t i = 0; i < arguments.size(); i += 2) {
    if (arguments[i] == aName) {
      arguments[i + 1] = aValue;
      return arguments;
    }
  }
  arguments.push_back(aName);
  arguments.push_back(aValue);
  return arguments;
}

} // namespace

class CommandsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(refusesBadSettings);
  CPPUNIT_TEST(refusesUnknownVariable);
  CPPUNIT_TEST(exitCodeMatchesOutcome);
  CPPUNIT_TEST(printsJsonAnswer);
  CPPUNIT_TEST(checksAndShowsRules);
  CPPUNIT_TEST(explainsThroughNode);
  CPPUNIT_TEST(showsStatusOfAllNodes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a node that starts with a setting that is unknown, missing
  // or invalid.
  void refusesBadSettings()
  {
    expectUsageError(withFlag("--bogus", "1"), "bogus");
    expectUsageError({ "--host", "h" }, "--");
    expectUsageError(withFlag("--http-port", "0"), "--http-port");
    expectUsageError(withFlag("--peer-port", "65536"), "--peer-port");
    expectUsageError(withFlag("--http-port", "12x"), "http-port");
    expectUsageError(withFlag("--address", "localhost"), "--address");
    expectUsageError(withFlag("--platform", "127.0.0.1:1"), "--platform");
    expectUsageError(withFlag("--log-level", "loud"), "--log-level");
    expectUsageError(withFlag("--http-threads", "257"), "--http-threads");
    expectUsageError(withFlag("--host", ""), "--host");
  }

  // Guards against ignoring a mistyped environment variable, and against not
  // checking the value of a known one.
  void refusesUnknownVariable()
  {
    setenv("TOUCANRIDGE_HTPP_PORT", "8000", 1);
    expectUsageError(kNodeArguments, "TOUCANRIDGE_HTPP_PORT");
    unsetenv("TOUCANRIDGE_HTPP_PORT");
    setenv("TOUCANRIDGE_HTTP_THREADS", "0", 1);
    expectUsageError(kNodeArguments, "--http-threads");
    unsetenv("TOUCANRIDGE_HTTP_THREADS");
  }

  // Guards against an exit code that makes a script take a partial, refused or
  // lost answer for a whole one.
  void exitCodeMatchesOutcome()
  {
    CPPUNIT_ASSERT_EQUAL(int(kExitOk),
                         queryExitCode(answerWithOutcome("whole")));
    CPPUNIT_ASSERT_EQUAL(int(kExitPartial),
                         queryExitCode(answerWithOutcome("partial")));
    CPPUNIT_ASSERT_EQUAL(int(kExitNotRun),
                         queryExitCode(answerWithOutcome("not-run")));
    CPPUNIT_ASSERT_EQUAL(int(kExitUnknown),
                         queryExitCode(answerWithOutcome("unknown")));
    // The node closes the connection after it received the query.
    CPPUNIT_ASSERT_EQUAL(int(kExitUnknown), queryExitCode(""));
  }

  // Guards against a --json flag that is accepted but has no effect.
  void printsJsonAnswer()
  {
    const FakeNode node(answerWithOutcome("partial"));
    const Capture out(std::cout);
    commandQuery(
      { "--entry", node.address(), "--class", "c", "--body", "b", "--json" });
    CPPUNIT_ASSERT_EQUAL('{', out.str()[0]);
    CPPUNIT_ASSERT(out.str().find(R"("outcome":"partial")") !=
                   std::string::npos);
  }

  // Guards against `rules check` passing an invalid file, and against `rules
  // show` leaving out built-in defaults.
  void checksAndShowsRules()
  {
    const std::string file =
      (std::filesystem::temp_directory_path() / "toucanridge_rules_test.txt")
        .string();
    std::ofstream(file) << "data-centre a up # asked by X : y\n";
    {
      const Capture err(std::cerr);
      CPPUNIT_ASSERT_EQUAL(int(kExitFailed), commandRules({ "check", file }));
      CPPUNIT_ASSERT_EQUAL(file + ":1:15: ",
                           err.str().substr(0, file.size() + 7));
      CPPUNIT_ASSERT_EQUAL(int(kExitFailed),
                           commandRules({ "check", "no-such-file" }));
      CPPUNIT_ASSERT_EQUAL(int(kExitUsage), commandRules({ "check" }));
      CPPUNIT_ASSERT_EQUAL(int(kExitUsage), commandRules({ "bogus", file }));
    }
    std::remove(file.c_str());
    const Capture out(std::cout);
    const char* const good = "examples/01-pabsong/rules.txt";
    CPPUNIT_ASSERT_EQUAL(int(kExitOk), commandRules({ "check", good }));
    CPPUNIT_ASSERT_EQUAL(int(kExitOk), commandRules({ "show", good }));
    CPPUNIT_ASSERT(out.str().find("built-in  ") != std::string::npos);
    CPPUNIT_ASSERT(out.str().find("       2  data-centre bkk-bangna in  # "
                                  "asked by Somchai W. : part of the site") !=
                   std::string::npos);
  }

  // Guards against asking the entry host for an answer that another host gave:
  // only the host named in the request id remembers it.
  void explainsThroughNode()
  {
    const FakeNode node("");
    const Capture out(std::cout);
    CPPUNIT_ASSERT_EQUAL(
      int(kExitOk),
      commandRules({ "explain", "dc-a-1-9f-2", "--entry", node.address() }));
    CPPUNIT_ASSERT(out.str().find("3  class c  # asked by X") !=
                   std::string::npos);
  }

  // Guards against a status that leaves out who asked for a data centre to be
  // out of service, or a field that no table has a column for.
  void showsStatusOfAllNodes()
  {
    const FakeNode node("");
    const Capture out(std::cout);
    CPPUNIT_ASSERT_EQUAL(int(kExitOk),
                         commandStatus({ "--entry", node.address(), "--all" }));
    const std::string text = out.str();
    CPPUNIT_ASSERT(text.find("dc-a         out    3          X") !=
                   std::string::npos);
    CPPUNIT_ASSERT(text.find("quarantine: 1") != std::string::npos);
    CPPUNIT_ASSERT(text.find("1f2e3d4c5b6a7988") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);
