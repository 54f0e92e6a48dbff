#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "catalogue_keeper_p.h"
#include "epoch_revision_p.h"
#include "published_items_p.h"

using namespace toucanridge;
using std::chrono::milliseconds;

namespace {

/// Orders values of the form "v<digit>" and keeps the item "config".
class VersionOrder : public ItemOrderI
{
public:
  bool isOlder(const std::string& /*aKey*/,
               const std::string& aValue,
               const std::string& aOther) const override
  {
    return aValue[0] == 'v' && aOther[0] == 'v' && aValue < aOther;
  }
  bool isPermanent(const std::string& aKey) const override
  {
    return aKey == "config";
  }
};

} // namespace

class PublishedItemsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PublishedItemsTest);
  CPPUNIT_TEST(neverGoesBack);
  CPPUNIT_TEST(wholeListingDropsWhatIsGone);
  CPPUNIT_TEST(copiesConverge);
  CPPUNIT_TEST(copyOfAnEarlierEpochIsReplacedWhole);
  CPPUNIT_TEST(keepsLaterValueThatThePlatformLost);
  CPPUNIT_TEST(getsLaterValueFromPeerAtTheSameRevision);
  CPPUNIT_TEST(lapsedEntryIsKeptForAMoment);
  CPPUNIT_TEST(drainingEntryGoesAtOnce);
  CPPUNIT_TEST(unusableEntryNamesNoServer);
  CPPUNIT_TEST(serverThatLeftStaysOutWhenItsEntryReturns);
  CPPUNIT_TEST(evacuationMissingInAListingHoldsOn);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against replacing a newer value with an older one from a stale
  // platform or a peer that lags.
  void neverGoesBack()
  {
    PublishedItems items(m_order);
    items.apply(changes(7, { item("a", "new", 7) }));
    CPPUNIT_ASSERT(items.apply(changes(6, { item("a", "old", 6) })).empty());
    CPPUNIT_ASSERT(items.apply(changes(9, { item("a", "old", 6) })).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("new"), items.items().at("a").value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), items.revision());
  }

  // Guards against keeping servers whose removal is no longer in the history
  // when a complete listing arrives.
  void wholeListingDropsWhatIsGone()
  {
    PublishedItems items(m_order);
    items.apply(changes(5, { item("a", "1", 4), item("b", "1", 5) }));
    ItemChanges whole = changes(9, { item("b", "1", 5) });
    whole.whole = true;
    const auto changed = items.apply(whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
    CPPUNIT_ASSERT(changed.count("a") == 1);
    CPPUNIT_ASSERT(items.changesAfter(5).whole);
  }

  // Guards against a copy that differs from its source after updates that skip
  // revisions and pass through another copy.
  void copiesConverge()
  {
    for (unsigned seed = 1; seed <= 30; ++seed) {
      std::mt19937 random(seed);
      PublishedItems source(m_order);
      PublishedItems middle(m_order);
      PublishedItems last(m_order);
      for (std::uint64_t revision = 1; revision <= 300; ++revision) {
        const std::string key(1, static_cast<char>('a' + random() % 8));
        PublishedItem change = item(key, std::to_string(random()), revision);
        change.deleted = random() % 3 == 0;
        source.apply(changes(revision, { change }));
        if (random() % 5 == 0) {
          middle.apply(source.changesAfter(middle.revision()));
        }
        if (random() % 7 == 0) {
          last.apply(middle.changesAfter(last.revision()));
        }
      }
      middle.apply(source.changesAfter(middle.revision()));
      last.apply(middle.changesAfter(last.revision()));
      CPPUNIT_ASSERT_EQUAL(source.items().size(), last.items().size());
      for (const auto& [key, held] : source.items()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                     held.value,
                                     last.items().at(key).value);
      }
    }
  }

  // Guards against a host that was cut off while the platform lost changes and
  // that gets only the changes after a revision of the earlier epoch.
  void copyOfAnEarlierEpochIsReplacedWhole()
  {
    PublishedItems cutOff(m_order);
    cutOff.apply(changes(joinRevision(1, 80),
                         { item("a", "1", joinRevision(1, 70)),
                           item("b", "1", joinRevision(1, 80)) }));
    PublishedItems peer(m_order);
    ItemChanges whole =
      changes(joinRevision(2, 60), { item("a", "2", joinRevision(2, 60)) });
    whole.whole = true;
    peer.apply(whole);
    peer.apply(
      changes(joinRevision(2, 61), { item("c", "1", joinRevision(2, 61)) }));
    const ItemChanges sent = peer.changesAfter(cutOff.revision());
    CPPUNIT_ASSERT(sent.whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), cutOff.apply(sent).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), cutOff.items().size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), cutOff.items().at("a").value);
    CPPUNIT_ASSERT(peer.apply(changes(joinRevision(1, 90), {})).empty());
  }

  // Guards against an older value, or none, in place of the latest one after
  // the platform has lost it, and against a copy that doesn't take the next
  // value.
  void keepsLaterValueThatThePlatformLost()
  {
    PublishedItems items(m_order);
    items.apply(changes(5, { item("config", "v5", 4), item("s", "v2", 5) }));
    ItemChanges whole = changes(9, { item("config", "v3", 8) });
    whole.whole = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), items.apply(whole).size());
    CPPUNIT_ASSERT_EQUAL(std::string("v5"), items.items().at("config").value);
    whole = changes(10, {});
    whole.whole = true;
    items.apply(whole);
    CPPUNIT_ASSERT_EQUAL(std::string("v5"), items.items().at("config").value);
    CPPUNIT_ASSERT(
      items.apply(changes(11, { item("config", "v4", 11) })).empty());
    items.apply(changes(12, { item("config", "v6", 12) }));
    CPPUNIT_ASSERT_EQUAL(std::string("v6"), items.items().at("config").value);
  }

  // Guards against a host that starts while the platform has lost the latest
  // value and that doesn't get it from a peer, whose revision is the same.
  void getsLaterValueFromPeerAtTheSameRevision()
  {
    PublishedItems peer(m_order);
    peer.apply(changes(5, { item("config", "v5", 4), item("s", "v2", 5) }));
    ItemChanges restored =
      changes(9, { item("config", "v3", 8), item("t", "v1", 2) });
    restored.whole = true;
    peer.apply(restored);
    PublishedItems started(m_order);
    started.apply(restored);
    const auto changed = started.apply(peer.changesAfter(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v5"), started.items().at("config").value);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), started.items().size());
  }

  // Guards against a service that loses all servers while their entries lapse
  // for a moment, and against a server that is still used three seconds after
  // its removal.
  void lapsedEntryIsKeptForAMoment()
  {
    CatalogueKeeper keeper(m_clock);
    keeper.set("servers/1", server(false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(1)->servers.size());
    keeper.remove("servers/1");
    m_clock.advance(milliseconds(1500));
    keeper.tick();
    CPPUNIT_ASSERT(!keeper.isChanged());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(2)->servers.size());
    m_clock.advance(milliseconds(1000));
    keeper.tick();
    CPPUNIT_ASSERT(keeper.isChanged());
    CPPUNIT_ASSERT(keeper.build(3)->servers.empty());

    keeper.set("servers/1", server(false));
    keeper.remove("servers/1");
    m_clock.advance(milliseconds(500));
    keeper.set("servers/1", server(false));
    m_clock.advance(std::chrono::seconds(5));
    keeper.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(4)->servers.size());
  }

  // Guards against a grace period for a server that was marked as draining.
  void drainingEntryGoesAtOnce()
  {
    CatalogueKeeper keeper(m_clock);
    keeper.set("servers/1", server(true));
    keeper.remove("servers/1");
    CPPUNIT_ASSERT(keeper.build(1)->servers.empty());
  }

  // Guards against keeping a server in use after another writer replaced its
  // entry with one that names no usable server.
  void unusableEntryNamesNoServer()
  {
    CatalogueKeeper keeper(m_clock);
    keeper.set("servers/1", server(false));
    keeper.set("servers/1", std::nullopt);
    CPPUNIT_ASSERT(keeper.build(1)->servers.empty());
    keeper.setEvacuated("bkk-lat", true);
    CPPUNIT_ASSERT(keeper.isChanged());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(2)->evacuated.size());
  }

  // Guards against requests to a server that has left, whose entry returns with
  // an old copy of the platform's items, and against a server that isn't used
  // although it is back.
  void serverThatLeftStaysOutWhenItsEntryReturns()
  {
    CatalogueKeeper keeper(m_clock);
    BackendServer left = server(true);
    left.startedMs = 5;
    left.sequence = 9;
    keeper.set("servers/1", left);
    keeper.remove("servers/1");
    left.draining = false;
    left.sequence = 8;
    keeper.set("servers/1", left);
    CPPUNIT_ASSERT(keeper.build(1)->servers.empty());
    m_clock.advance(CatalogueKeeper::kReturnDelay - milliseconds(1));
    keeper.tick();
    CPPUNIT_ASSERT(keeper.build(2)->servers.empty());
    // The entry hasn't lapsed: its server is alive.
    m_clock.advance(milliseconds(1));
    keeper.tick();
    CPPUNIT_ASSERT(keeper.isChanged());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(3)->servers.size());

    keeper.remove("servers/1");
    left.sequence = 10;
    keeper.set("servers/1", left);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(4)->servers.size());
    keeper.remove("servers/1");
    left.startedMs = 6;
    left.sequence = 0;
    keeper.set("servers/1", left);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(5)->servers.size());
  }

  // Guards against new work for an evacuated data centre while the platform has
  // lost the evacuation, and against an evacuation that never ends.
  void evacuationMissingInAListingHoldsOn()
  {
    CatalogueKeeper keeper(m_clock);
    keeper.setEvacuated("bkk-lat", true);
    keeper.onEvacuationMissing("bkk-lat");
    m_clock.advance(CatalogueKeeper::kEvacuationGrace - milliseconds(1));
    keeper.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(1)->evacuated.size());
    keeper.setEvacuated("bkk-lat", true); // written again
    m_clock.advance(CatalogueKeeper::kEvacuationGrace);
    keeper.tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), keeper.build(2)->evacuated.size());
    keeper.onEvacuationMissing("bkk-lat");
    m_clock.advance(CatalogueKeeper::kEvacuationGrace);
    keeper.tick();
    CPPUNIT_ASSERT(keeper.isChanged());
    CPPUNIT_ASSERT(keeper.build(3)->evacuated.empty());
  }

private:
  static PublishedItem item(const std::string& aKey,
                            const std::string& aValue,
                            std::uint64_t aRevision)
  {
    return { aKey, aValue, aRevision, false };
  }
  static ItemChanges changes(std::uint64_t aTo,
                             std::vector<PublishedItem> aItems)
  {
    ItemChanges made;
    made.to = aTo;
    made.items = std::move(aItems);
    return made;
  }
  static BackendServer server(bool aDraining)
  {
    BackendServer made;
    made.id = "1";
    made.draining = aDraining;
    return made;
  }

  ManualClock m_clock;
  VersionOrder m_order;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedItemsTest);
