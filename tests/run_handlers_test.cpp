#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

#include <boost/asio/post.hpp>

#include "run_handlers_p.h"

using namespace toucanridge;

class RunHandlersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RunHandlersTest);
  CPPUNIT_TEST(goesOnAfterAnException);
  CPPUNIT_TEST(endsWhenStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an unexpected error in the handling of one message that ends
  // the process, and with it every request that runs.
  void goesOnAfterAnException()
  {
    boost::asio::io_context context;
    int ran = 0;
    for (int i = 0; i < 3; ++i) {
      boost::asio::post(context, [] { throw std::length_error("too long"); });
      boost::asio::post(context, [&ran] { ++ran; });
    }
    runHandlers(context, "test");
    CPPUNIT_ASSERT_EQUAL(3, ran);
  }

  // Guards against a thread that goes on after its context was stopped, so that
  // a planned stop never ends.
  void endsWhenStopped()
  {
    boost::asio::io_context context;
    int ran = 0;
    boost::asio::post(context, [&context] {
      context.stop();
      throw std::runtime_error("stopping");
    });
    boost::asio::post(context, [&ran] { ++ran; });
    runHandlers(context, "test");
    CPPUNIT_ASSERT_EQUAL(0, ran);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunHandlersTest);
