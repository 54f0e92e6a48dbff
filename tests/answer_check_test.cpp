#include <cppunit/extensions/HelperMacros.h>

#include "answer_check.h"

using namespace toucanridge;
using namespace toucanridge::load;

class AnswerCheckTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswerCheckTest);
  CPPUNIT_TEST(acceptsCorrectAnswers);
  CPPUNIT_TEST(rejectsReplyOfAnotherQuery);
  CPPUNIT_TEST(rejectsMixedSnapshots);
  CPPUNIT_TEST(rejectsWrongCoverage);
  CPPUNIT_TEST(rejectsRefusalWithParts);
  CPPUNIT_TEST_SUITE_END();

  ExpectedAnswer m_expected{ "q1", { "s/01", "s/02" }, true };

  static QueryAnswer wholeAnswer()
  {
    QueryAnswer answer;
    answer.outcome = Outcome::Whole;
    answer.snapshot = 7;
    answer.coverage = { 2, 2 };
    answer.parts = { { "s/01", standInReply("s/01", 7, "q1") },
                     { "s/02", standInReply("s/02", 7, "q1") } };
    return answer;
  }

  void expect(Fault aFault, const QueryAnswer& aAnswer) const
  {
    CPPUNIT_ASSERT(aFault == checkAnswer(aAnswer, m_expected));
  }

public:
  // Guards against a check that reports a fault for a correct whole, partial
  // or refused answer, which would fail the load run.
  void acceptsCorrectAnswers()
  {
    QueryAnswer answer = wholeAnswer();
    expect(Fault::None, answer);
    answer.parts.pop_back();
    answer.coverage = { 1, 2 };
    answer.outcome = Outcome::Partial;
    expect(Fault::None, answer);
    expect(Fault::None, QueryAnswer());
  }

  // Guards against a check that accepts the reply to another query or of
  // another service, so that a load run passes although replies were mixed up
  // (own-answer).
  void rejectsReplyOfAnotherQuery()
  {
    QueryAnswer answer = wholeAnswer();
    answer.parts[1].body = standInReply("s/02", 7, "q2");
    expect(Fault::Content, answer);
    answer.parts[1].body = standInReply("s/01", 7, "q1");
    expect(Fault::Content, answer);
    answer.parts[1].body = "";
    expect(Fault::Content, answer);
  }

  // Guards against a check that accepts an answer with replies of two
  // snapshots (one-snapshot).
  void rejectsMixedSnapshots()
  {
    QueryAnswer answer = wholeAnswer();
    answer.parts[1].body = standInReply("s/02", 8, "q1");
    expect(Fault::Snapshot, answer);
  }

  // Guards against a check that accepts a reported coverage which differs from
  // the services in the answer, because a part is missing, is present twice or
  // comes from a service outside the snapshot (true-coverage).
  void rejectsWrongCoverage()
  {
    QueryAnswer answer = wholeAnswer();
    answer.parts.pop_back();
    expect(Fault::Services, answer);
    answer = wholeAnswer();
    answer.parts[1] = answer.parts[0];
    expect(Fault::Services, answer);
    answer = wholeAnswer();
    answer.coverage.total = 1;
    expect(Fault::Services, answer);
    answer = wholeAnswer();
    answer.parts[1].service = "s/03";
    expect(Fault::Services, answer);
  }

  // Guards against a check that accepts an answer with the outcome not-run
  // that carries results (true-refusal).
  void rejectsRefusalWithParts()
  {
    QueryAnswer answer = wholeAnswer();
    answer.outcome = Outcome::NotRun;
    expect(Fault::Services, answer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerCheckTest);
