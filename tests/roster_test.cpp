#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <random>
#include <set>

#include "roster_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

/// Rosters on a virtual clock and a network that loses datagrams.
class Fleet
{
public:
  Fleet(std::size_t aHosts, unsigned aSeed, double aLoss)
    : m_random(aSeed)
    , m_loss(aLoss)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      add();
    }
  }

  void add()
  {
    const std::size_t index = m_nodes.size();
    auto node = std::make_unique<Node>();
    node->fleet = this;
    node->self.name = "host-" + std::to_string(index);
    node->self.dataCentre = "dc" + std::to_string(index % 4);
    node->self.address = "10.0.0." + std::to_string(index);
    node->self.peerPort = 7380;
    node->roster =
      std::make_unique<Roster>(clock, index + 1, *node, node->self);
    node->roster->setSeeds(
      { { "10.0.0.0", 7380 }, { "10.0.0.1", 7380 }, { "10.0.0.2", 7380 } });
    m_nodes.push_back(std::move(node));
  }

  void run(milliseconds aTime)
  {
    for (milliseconds step(0); step < aTime; step += milliseconds(50)) {
      clock.advance(milliseconds(50));
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (dead.count(i) == 0) {
          m_nodes[i]->roster->tick();
        }
      }
      deliver();
    }
  }

  std::size_t known(std::size_t aNode) const
  {
    return m_nodes[aNode]->roster->size();
  }
  std::size_t leastKnown() const
  {
    std::size_t least = m_nodes.size();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      least = dead.count(i) == 0 ? std::min(least, known(i)) : least;
    }
    return least;
  }

  ManualClock clock;
  std::set<std::size_t> dead;

private:
  struct Node final : DatagramSenderI
  {
    void sendDatagram(const PeerAddress& aTo, std::string aBytes) override
    {
      CPPUNIT_ASSERT(aBytes.size() <= kMaxDatagramBytes);
      fleet->m_queue.push_back({ self.address, aTo, std::move(aBytes) });
    }
    Fleet* fleet = nullptr;
    Host self;
    std::unique_ptr<Roster> roster;
  };
  struct Datagram
  {
    std::string from;
    PeerAddress to;
    std::string bytes;
  };

  void deliver()
  {
    while (!m_queue.empty()) {
      const Datagram datagram = m_queue.front();
      m_queue.pop_front();
      const bool lost =
        std::uniform_real_distribution<double>()(m_random) < m_loss;
      for (std::size_t i = 0; i < m_nodes.size() && !lost; ++i) {
        if (m_nodes[i]->self.address == datagram.to.address &&
            dead.count(i) == 0) {
          CPPUNIT_ASSERT(isIntroduction(datagram.bytes));
          m_nodes[i]->roster->onDatagram({ datagram.from, 7380 },
                                         datagram.bytes);
        }
      }
    }
  }

  std::mt19937 m_random;
  double m_loss;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::deque<Datagram> m_queue;
};

} // namespace

class RosterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RosterTest);
  CPPUNIT_TEST(findsEveryHost);
  CPPUNIT_TEST(newHostFindsExistingFleet);
  CPPUNIT_TEST(findsSeedsThatStartLater);
  CPPUNIT_TEST(forgetsStoppedHosts);
  CPPUNIT_TEST(survivesMalformedDatagrams);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts that don't all find each other when two of three seeds
  // are dead and datagrams are lost.
  void findsEveryHost()
  {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Fleet fleet(66, seed, 0.1);
      fleet.dead = { 0, 1 };
      fleet.run(milliseconds(8000));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.leastKnown()),
                             fleet.leastKnown() >= 64);
    }
  }

  // Guards against an added host that doesn't find the others, or isn't found
  // by them.
  void newHostFindsExistingFleet()
  {
    Fleet fleet(20, 1, 0.0);
    fleet.run(milliseconds(5000));
    fleet.add();
    fleet.run(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), fleet.known(20));
    fleet.run(milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), fleet.leastKnown());
  }

  // Guards against a host that starts a moment before its seeds, as when a
  // whole fleet restarts, and reads the platform because it knows no peer: the
  // introduction must be repeated within 75 ms (kPeerDiscoveryTime).
  void findsSeedsThatStartLater()
  {
    Fleet fleet(6, 1, 0.0);
    fleet.dead = { 0, 1, 2 };
    fleet.run(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.known(5));
    fleet.dead.clear();
    fleet.run(milliseconds(50));
    CPPUNIT_ASSERT(fleet.known(5) > 1);
  }

  // Guards against stopped hosts that stay in the rosters because hosts keep
  // forwarding old entries about them.
  void forgetsStoppedHosts()
  {
    Fleet fleet(10, 1, 0.0);
    fleet.run(milliseconds(5000));
    fleet.dead = { 7, 8, 9 };
    fleet.run(milliseconds(180'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), fleet.known(3));
  }

  // Guards against malformed introductions that crash the process.
  void survivesMalformedDatagrams()
  {
    Fleet fleet(1, 1, 0.0);
    ManualClock clock;
    struct Sender final : DatagramSenderI
    {
      void sendDatagram(const PeerAddress&, std::string) override {}
    } sender;
    Host self;
    self.name = "self";
    Roster roster(clock, 1, sender, self);
    std::mt19937 random(1);
    for (int i = 0; i < 2000; ++i) {
      std::string bytes(random() % 80, '\0');
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      if (bytes.size() > 1) {
        bytes[0] = 1;
        bytes[1] = static_cast<char>(kIntroductionKind);
      }
      roster.onDatagram({ "10.0.0.9", 1 }, bytes);
    }
    CPPUNIT_ASSERT(!isIntroduction(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RosterTest);
