#ifndef TOUCANRIDGE_CONFIG_SYNC_P_H
#define TOUCANRIDGE_CONFIG_SYNC_P_H

/// Keeps the newest rules file and host list. A few hosts read them from the
/// platform; the others fetch what their peers advertise.

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

/// Sends a fetch to a peer; its reply is passed to ConfigSync::onReply.
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
  /// Long-poll time of the first reader's watch. A watch without an answer is
  /// abandoned soon after that time, well within the specified 11 s until a
  /// change is in force everywhere.
  std::chrono::milliseconds watchTime{ 3000 };
  /// Period in which the first reader, or a starting node, reads the host list.
  std::chrono::milliseconds hostsReadPeriod{ 1000 };
  /// Poll period of the second reader; bounds the delay of a change while the
  /// first reader can't reach the platform.
  std::chrono::milliseconds standbyReadPeriod{ 4000 };
  /// Shortest delay after a failed read, and the period in which a starting
  /// node reads the rules.
  std::chrono::milliseconds retryDelay{ 1000 };
  std::chrono::milliseconds fetchTimeout{ 2000 };
  /// How long a starting node waits for peers before it assumes that it is the
  /// first one. At ten probes a second the risk of missing all live peers is
  /// negligible; every start of a whole fleet takes this long.
  std::chrono::milliseconds joinTime{ 3000 };
  /// Number of peers whose revisions a starting node compares; a single peer
  /// may lag behind by the spread time of a change.
  std::size_t joinPeers = 3;
};

struct ConfigSyncCounters
{
  std::uint64_t platformReads = 0;
  std::uint64_t platformFailures = 0;
  std::uint64_t lowerIgnored = 0; ///< platform answers with an older revision
  std::uint64_t conflicts = 0;    ///< same revision, different contents
  std::uint64_t refused = 0;      ///< documents that did not parse
  std::uint64_t fetches = 0;
  std::uint64_t deltas = 0;      ///< applied
  std::uint64_t deltaFaults = 0; ///< not applicable or wrong result
  std::uint64_t wholes = 0;      ///< complete documents applied
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
};

/// How a node takes part in reading the platform.
enum class ReaderRole : std::uint8_t
{
  None,
  First,    ///< watches for changes with long polls
  Second,   ///< polls every standbyReadPeriod
  Starting, ///< polls until its configuration is confirmed
};

/// @returns the text form in which nodes exchange the host list
std::string
hostListText(const HostList& aHosts);

/// Parses the text form.
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

  /// Updates readiness and the reader role and starts platform reads that are
  /// due; call it every 50 ms or more often.
  void tick();
  /// Handles the revisions that a peer advertises; fetches newer ones from it.
  void onDigest(const std::string& aHost,
                const PeerAddress& aAddress,
                const ConfigDigest& aDigest);
  /// Answers a peer's fetch.
  /// @returns the message, or an empty payload when the fetch is malformed
  std::pair<MessageType, std::string> answerFetch(const std::string& aPayload);
  /// Handles a ConfigDelta or ConfigWhole from a peer.
  /// @returns false when the payload is malformed
  bool onReply(const std::string& aHost,
               MessageType aType,
               const std::string& aPayload);

  /// @returns true once the node may take work: it holds both documents, none
  ///          older than its peers advertise, and either enough peers were
  ///          compared or the join time has passed
  bool isReady() const { return m_ready; }
  /// @returns the revisions to advertise, zeros until the node is ready
  ConfigDigest digest() const;
  ReaderRole role() const { return m_role; }
  /// @returns the revisions held, also before the node is ready
  ViewId heldRevisions() const;
  /// @returns the highest revision read from the platform that did not parse
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
    std::string host; ///< empty when no fetch is pending
    PeerAddress address;
    TimePoint startedAt;
  };
  struct Document
  {
    std::deque<Revision> history;       ///< newest last
    std::deque<std::uint64_t> replaced; ///< hashes of replaced texts
    /// Highest revision from the platform that didn't parse.
    std::uint64_t refusedNumber = 0;
    /// Hash of the last document that didn't parse, from the platform or a
    /// peer.
    std::uint64_t refusedHash = 0;
    std::uint64_t newestAdvertised = 0; ///< by any peer
    std::uint64_t conflictNumber = 0;   ///< last conflict that was logged
    Fetch fetch;
    bool reading = false; ///< a platform read is pending
    TimePoint readStartedAt;
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
  bool tryStartRead(Document& aDocument, std::chrono::milliseconds aLimit);
  void finishRead(Document& aDocument,
                  bool aOk,
                  std::chrono::milliseconds aDelay);
  void onPlatformRead(DocumentKind aKind,
                      std::uint64_t aNumber,
                      std::string aText);
  void accept(DocumentKind aKind, Revision aRevision, bool aFromPlatform);
  bool parseAndStore(DocumentKind aKind, const Revision& aRevision);
  void fetch(DocumentKind aKind,
             const std::string& aHost,
             const PeerAddress& aAddress,
             bool aWhole);
  void fetchIfNewer(DocumentKind aKind,
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
  TimePoint m_nextRoleCheck;
  /// Peers that advertised revisions while this node was starting.
  std::set<std::string> m_advertisingPeers;
  TimePoint m_joinStartedAt; ///< when the first host list was accepted
  bool m_ready = false;
  /// Encoded deltas to the newest revision, by kind and base revision.
  std::map<std::pair<DocumentKind, std::uint64_t>, std::string> m_deltas;
  ConfigSyncCounters m_counters;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_CONFIG_SYNC_P_H
