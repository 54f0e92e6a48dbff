#include "rules_parser_p.h"

#include <set>

namespace toucanridge {

void
RulesParser::checkSnapshots()
{
  for (const auto& [application, snapshot] : m_rules->snapshots) {
    std::set<std::string> seen;
    for (const std::string& service : snapshot.services) {
      if (m_rules->findService(service) == nullptr) {
        addFaultAt(snapshot.from, "no rule for service '" + service + "'");
      }
      if (!seen.insert(service).second) {
        addFaultAt(snapshot.from, "service '" + service + "' is named twice");
      }
    }
  }
}

template<class Map>
void
RulesParser::checkClassNames(const Map& aMap, const char* aWhat)
{
  for (const auto& [className, rule] : aMap) {
    if (m_rules->classes.count(className) == 0) {
      addFaultAt(rule.from,
                 std::string(aWhat) + " names unknown class '" + className +
                   "'");
    }
  }
}

void
RulesParser::checkClasses()
{
  for (const auto& [className, rule] : m_rules->classes) {
    const auto snapshot = m_rules->snapshots.find(rule.application);
    if (snapshot == m_rules->snapshots.end()) {
      addFaultAt(rule.from,
                 "application '" + rule.application + "' has no snapshot rule");
    } else if (rule.fanOut == FanOut::All && !rule.idempotent) {
      addFaultAt(rule.from, "a class that is not idempotent needs fan-out one");
    }
  }
  checkClassNames(m_rules->hedges, "hedge");
  checkClassNames(m_rules->retries, "retry");
  checkClassNames(m_rules->shares, "share");
  for (const auto& [className, rule] : m_rules->hedges) {
    const auto found = m_rules->classes.find(className);
    if (found != m_rules->classes.end() && !found->second.idempotent &&
        rule.mode != HedgeRule::Mode::Off) {
      addFaultAt(rule.from,
                 "class '" + className +
                   "' is not idempotent: hedge must be off");
    }
  }
}

void
RulesParser::checkWholeFile()
{
  for (const auto& [address, from] : m_leavingServers) {
    bool found = false;
    for (ServiceRule& service : m_rules->services) {
      for (ServerRule& server : service.servers) {
        if (server.name == address) {
          server.leaving = from;
          found = true;
        }
      }
    }
    if (!found) {
      addFaultAt(from, "no service has a server '" + address + "'");
    }
  }
  checkSnapshots();
  checkClasses();
  if (m_rules->dataCentres.empty()) {
    m_line = 1;
    addFault(1, "no data-centre rule: at least one data centre is needed");
  }
}

} // namespace toucanridge
