#include "request_losses_p.h"

#include <xxhash.h>

#include "clock_p.h"

namespace toucanridge {
namespace {

/// More losses of one request say nothing more about it.
constexpr std::size_t kMaxHeldBack = 3;

} // namespace

std::uint64_t
requestFingerprint(std::string_view aHost,
                   std::string_view aTarget,
                   std::string_view aBody)
{
  const auto hash = [](std::string_view aText, std::uint64_t aSeed) {
    return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
  };
  return hash(aBody, hash(aTarget, hash(aHost, 0)));
}

RequestLosses::RequestLosses(Quarantine& aQuarantine,
                             std::uint64_t aFingerprint,
                             std::uint64_t aAttempt)
  : m_quarantine(aQuarantine)
  , m_fingerprint(aFingerprint)
  , m_attempt(aAttempt)
{
}

RequestLosses::~RequestLosses()
{
  for (const Strike& strike : m_heldBack) {
    m_quarantine.recordStrike(strike);
  }
}

void
RequestLosses::onAnswered()
{
  if (!m_answered) {
    m_answered = true;
    m_heldBack.clear();
    m_quarantine.clearStrikes(m_fingerprint);
  }
}

void
RequestLosses::onLost(const std::string& aServer, const std::string& aService)
{
  if (m_answered) {
    return;
  }
  Strike strike;
  strike.fingerprint = m_fingerprint;
  strike.server = strikeHash(aServer);
  strike.service = strikeHash(aService);
  strike.atMs = unixTime().count();
  strike.attempt = m_attempt;
  if (m_quarantine.hasStrikes(m_fingerprint)) {
    // An earlier attempt got no answer either.
    m_quarantine.recordStrike(strike);
  } else if (m_heldBack.size() < kMaxHeldBack) {
    m_heldBack.push_back(strike);
  }
}

} // namespace toucanridge
