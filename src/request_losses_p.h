#ifndef TOUCANRIDGE_REQUEST_LOSSES_P_H
#define TOUCANRIDGE_REQUEST_LOSSES_P_H

/// The servers that were lost while they ran a caller's request.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quarantine_p.h"

namespace toucanridge {

/// @returns the fingerprint by which a request is recognised when it is sent
///          again
std::uint64_t
requestFingerprint(std::string_view aHost,
                   std::string_view aTarget,
                   std::string_view aBody);

/// Reports the losses of one request to the quarantine, unless a server
/// answered it: such a request has at most lost servers that another one
/// crashed. Used on one thread.
class RequestLosses
{
public:
  /// @param[in] aQuarantine must outlive this object
  /// @param[in] aAttempt differs between a caller's attempts
  RequestLosses(Quarantine& aQuarantine,
                std::uint64_t aFingerprint,
                std::uint64_t aAttempt);
  /// Reports the losses that are held back.
  ~RequestLosses();
  RequestLosses(const RequestLosses&) = delete;
  RequestLosses& operator=(const RequestLosses&) = delete;

  /// A server answered the request with success.
  void onAnswered();
  /// A server closed the connection while it ran the request.
  void onLost(const std::string& aServer, const std::string& aService);
  /// Decides on the caller's request, see Quarantine::admit().
  QuarantineVerdict admit() { return m_quarantine.admit(m_fingerprint); }
  /// @returns true when no further server must get the request
  bool isBlocked() const { return m_quarantine.blocks(m_fingerprint); }

private:
  Quarantine& m_quarantine;
  const std::uint64_t m_fingerprint;
  const std::uint64_t m_attempt;
  std::vector<Strike> m_heldBack; ///< until it is known if a server answers
  bool m_answered = false;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_REQUEST_LOSSES_P_H
