#ifndef TOUCANRIDGE_CONFIG_SYNC_P_H
#define TOUCANRIDGE_CONFIG_SYNC_P_H

/// Keeps the newest rules file and host list: few hosts read the platform, the
/// others fetch what their peers advertise.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "clock_p.h"
#include "gossip_wire_p.h"
#include "platform_p.h"
#include "view_p.h"

namespace toucanridge {

/// Asks a peer for a document; the reply comes to ConfigSync::onReply.
class ConfigSenderI
{
public:
  virtual ~ConfigSenderI() = default;
  virtual void sendFetch(const std::string& aHost,
                         const PeerAddress& aAddress,
                         const ConfigFetch& aFetch) = 0;
};

struct ConfigSyncSettings
{
  /// Length of the first reader's watch. A watch on a silent connection is
  /// given up soon after, well within the 11 s for a change.
  std::chrono::milliseconds watch{ 3000 };
  std::chrono::milliseconds hostsEvery{ 1000 };
  /// Period of the second reader; bounds the delay when the first is cut off
  /// from the platform.
  std::chrono::milliseconds standbyEvery{ 4000 };
  std::chrono::milliseconds retryAfter{ 1000 };
  std::chrono::milliseconds fetchTimeout{ 2000 };
  /// How long a starting node listens for peers before it believes that it is
  /// the first: ten probes a second make a miss of all live peers negligible,
  /// and every start of a whole fleet lasts this long.
  std::chrono::milliseconds joinTime{ 3000 };
  /// Peers whose revisions a starting node compares. One may lag behind by
  /// the spread time of a change.
  std::size_t joinPeers = 3;
};

struct ConfigSyncCounters
{
  std::uint64_t platformReads = 0;
  std::uint64_t platformFailures = 0;
  std::uint64_t lowerIgnored = 0; ///< platform answers with an old revision
  std::uint64_t conflicts = 0;    ///< one revision with two contents
  std::uint64_t refused = 0;      ///< documents with a fault
  std::uint64_t fetches = 0;
  std::uint64_t deltas = 0; ///< applied
  std::uint64_t deltaFaults = 0;
  std::uint64_t wholes = 0; ///< applied
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
};

/// How a node takes part in reading the platform.
enum class ReaderRole : std::uint8_t
{
  None,
  First,    ///< watches
  Second,   ///< polls slowly
  Starting, ///< polls until its configuration is confirmed
};

/// @returns the text form in which the host list travels
std::string
hostListText(const HostList& aHosts);

/// Reads the text form.
/// @returns nothing when the text is malformed, empty or names a host twice
std::optional<HostList>
parseHostListText(std::uint64_t aRevision, const std::string& aText);

class ConfigSync
{
public:
  using IsAlive = std::function<bool(const std::string& aHost)>;
  /// Called when a newer document was accepted.
  using OnChange = std::function<void(DocumentKind)>;

  /// @param[in] aPlatform calls back on this object's thread
  ConfigSync(const ClockI& aClock,
             std::uint64_t aSeed,
             ConfigSyncSettings aSettings,
             PlatformI& aPlatform,
             ConfigSenderI& aSender,
             std::string aSelf,
             std::string aDataCentre,
             IsAlive aIsAlive,
             OnChange aOnChange);

  /// Does what is due; call it every 50 ms or more often.
  void tick();
  /// A peer told which revisions it holds.
  void onDigest(const std::string& aHost,
                const PeerAddress& aAddress,
                const ConfigDigest& aDigest);
  /// Answers a peer's fetch.
  /// @returns the message, or an empty payload when the fetch is malformed
  std::pair<MessageType, std::string> answer(const std::string& aPayload);
  /// Takes a ConfigDelta or ConfigWhole.
  /// @returns false when the payload is malformed
  bool onReply(const std::string& aHost,
               MessageType aType,
               const std::string& aPayload);

  /// @returns true once the node may take work: its revisions cover those of
  ///          its peers, or no peer was found in the join time
  bool isReady() const { return m_ready; }
  /// @returns what is held, zeros until the node is ready
  ConfigDigest digest() const;
  ReaderRole role() const { return m_role; }
  /// @returns revisions held, in force or waiting for the node to be ready
  ViewId held() const;
  std::uint64_t refusedRevision(DocumentKind aKind) const;
  const std::shared_ptr<const RuleSet>& rules() const { return m_rules; }
  const HostList& hosts() const { return m_hosts; }
  const ConfigSyncCounters& counters() const { return m_counters; }

private:
  struct Revision
  {
    std::uint64_t number = 0;
    std::uint64_t hash = 0;
    std::string text;
  };
  struct Fetch
  {
    std::string host; ///< empty when no fetch runs
    PeerAddress address;
    TimePoint since;
  };
  struct Document
  {
    std::deque<Revision> history; ///< newest last
    std::uint64_t refused = 0;
    std::uint64_t refusedHash = 0;
    std::uint64_t heard = 0; ///< newest revision that a peer vouched for
    std::uint64_t conflict = 0;
    Fetch fetch;
    bool reading = false;
    TimePoint readSince;
    TimePoint nextRead;

    std::uint64_t number() const
    {
      return history.empty() ? 0 : history.back().number;
    }
    std::uint64_t hash() const
    {
      return history.empty() ? 0 : history.back().hash;
    }
  };

  Document& document(DocumentKind aKind);
  const Document& document(DocumentKind aKind) const;
  ReaderRole findRole() const;
  void readRules();
  void readHosts();
  bool mayRead(Document& aDocument, std::chrono::milliseconds aLimit);
  void afterRead(Document& aDocument, bool aOk, std::chrono::milliseconds aGap);
  void onPlatform(DocumentKind aKind, std::uint64_t aNumber, std::string aText);
  void accept(DocumentKind aKind, Revision aRevision, bool aFromPlatform);
  bool adopt(DocumentKind aKind, const Revision& aRevision);
  void fetch(DocumentKind aKind,
             const std::string& aHost,
             const PeerAddress& aAddress,
             bool aWhole);
  void considerFetch(DocumentKind aKind,
                     const std::string& aHost,
                     const PeerAddress& aAddress,
                     std::uint64_t aNumber,
                     std::uint64_t aHash);
  bool onDelta(const std::string& aHost, const std::string& aPayload);
  bool onWhole(const std::string& aHost, const std::string& aPayload);
  void checkReady();

  const ClockI& m_clock;
  std::mt19937_64 m_random;
  const ConfigSyncSettings m_settings;
  PlatformI& m_platform;
  ConfigSenderI& m_sender;
  const std::string m_self;
  const std::string m_dataCentre;
  IsAlive m_isAlive;
  OnChange m_onChange;

  std::array<Document, kDocumentKinds> m_documents;
  std::shared_ptr<const RuleSet> m_rules;
  HostList m_hosts;
  ReaderRole m_role = ReaderRole::Starting;
  TimePoint m_nextRole;
  std::set<std::string> m_heardFrom;
  TimePoint m_joinSince;
  bool m_ready = false;
  /// Encoded deltas to the newest revision, by kind and first revision.
  std::map<std::pair<DocumentKind, std::uint64_t>, std::string> m_deltas;
  ConfigSyncCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CONFIG_SYNC_P_H
