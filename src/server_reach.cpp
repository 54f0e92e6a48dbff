#include "server_reach_p.h"

namespace toucanridge {

ServerReach::ServerReach(const ClockI& aClock)
  : m_clock(aClock)
  , m_lastContact(aClock.now())
{
}

void
ServerReach::onContact()
{
  m_lastContact = m_clock.now();
  m_silent.clear();
}

void
ServerReach::onNoAnswer(const std::string& aServer)
{
  m_silent.insert(aServer);
}

bool
ServerReach::isLost() const
{
  return m_silent.size() >= kMinSilentServers &&
         m_clock.now() - m_lastContact >= Duration(kSilence);
}

} // namespace toucanridge
