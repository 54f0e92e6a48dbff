#include "rules_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

/// @returns the provenance of a built-in default
Provenance
builtInProvenance(const char* aText)
{
  return { 0, aText, "built-in", "default of the program" };
}

const HedgeRule kDefaultHedge{ HedgeRule::Mode::Off,
                               std::chrono::milliseconds(0),
                               0.95,
                               0.0,
                               builtInProvenance("hedge off") };
const RetryRule kDefaultRetry{ 0.10, builtInProvenance("retry budget 10%") };
const ShareRule kDefaultShare{ 1.0, builtInProvenance("share at-most 100%") };
const char* const kDefaultLeaseText = "rights lease 5s";

GoverningRule
toGoverningRule(const Provenance& aProvenance)
{
  return { aProvenance.line, aProvenance.text, aProvenance.askedBy };
}

template<class Rule>
const Rule&
findOrDefault(const std::map<std::string, Rule>& aMap,
              const std::string& aClass,
              const Rule& aDefault)
{
  const auto found = aMap.find(aClass);
  return found == aMap.end() ? aDefault : found->second;
}

/// @returns the provenance of the lease in force: a rule or the default
Provenance
leaseProvenance(const RuleSet& aRules)
{
  return aRules.rights.from.line != 0 ? aRules.rights.from
                                      : builtInProvenance(kDefaultLeaseText);
}

} // namespace

const ServiceRule*
RuleSet::findService(const std::string& aName) const
{
  const auto found = serviceIndex.find(aName);
  return found == serviceIndex.end() ? nullptr : &services[found->second];
}

const DataCentreRule*
RuleSet::findDataCentre(const std::string& aName) const
{
  const auto found =
    std::find_if(dataCentres.begin(),
                 dataCentres.end(),
                 [&](const auto& aRule) { return aRule.name == aName; });
  return found == dataCentres.end() ? nullptr : &*found;
}

const HedgeRule&
RuleSet::hedgeOf(const std::string& aClass) const
{
  return findOrDefault(hedges, aClass, kDefaultHedge);
}

const RetryRule&
RuleSet::retryOf(const std::string& aClass) const
{
  return findOrDefault(retries, aClass, kDefaultRetry);
}

const ShareRule&
RuleSet::shareOf(const std::string& aClass) const
{
  return findOrDefault(shares, aClass, kDefaultShare);
}

std::vector<Provenance>
listRules(const RuleSet& aRules)
{
  std::vector<Provenance> list;
  const auto addAll = [&list](const auto& aMap) {
    for (const auto& entry : aMap) {
      list.push_back(entry.second.from);
    }
  };
  for (const auto& rule : aRules.dataCentres) {
    list.push_back(rule.from);
  }
  for (const auto& service : aRules.services) {
    list.push_back(service.from);
    for (const auto& server : service.servers) {
      if (server.leaving) {
        list.push_back(*server.leaving);
      }
    }
  }
  addAll(aRules.hostsOutOfService);
  addAll(aRules.snapshots);
  addAll(aRules.classes);
  addAll(aRules.hedges);
  addAll(aRules.retries);
  addAll(aRules.shares);
  for (const auto& rule : aRules.quarantineLifts) {
    list.push_back(rule.from);
  }
  if (aRules.rights.from.line != 0) {
    list.push_back(aRules.rights.from);
  }
  std::sort(
    list.begin(), list.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.line < aRight.line;
    });
  if (aRules.rights.from.line == 0) {
    list.push_back(leaseProvenance(aRules));
  }
  list.push_back(kDefaultHedge.from);
  list.push_back(kDefaultRetry.from);
  list.push_back(kDefaultShare.from);
  return list;
}

std::vector<GoverningRule>
governingRules(const RuleSet& aRules, const std::string& aClass)
{
  std::vector<GoverningRule> list;
  const auto found = aRules.classes.find(aClass);
  if (found == aRules.classes.end()) {
    return list;
  }
  const ClassRule& rule = found->second;
  list.push_back(toGoverningRule(rule.from));
  list.push_back(toGoverningRule(aRules.hedgeOf(aClass).from));
  list.push_back(toGoverningRule(aRules.retryOf(aClass).from));
  list.push_back(toGoverningRule(aRules.shareOf(aClass).from));
  list.push_back(toGoverningRule(leaseProvenance(aRules)));
  const auto snapshot = aRules.snapshots.find(rule.application);
  if (snapshot != aRules.snapshots.end()) {
    list.push_back(toGoverningRule(snapshot->second.from));
    for (const std::string& name : snapshot->second.services) {
      const ServiceRule* service = aRules.findService(name);
      if (service != nullptr) {
        list.push_back(toGoverningRule(service->from));
      }
    }
  }
  for (const auto& dataCentre : aRules.dataCentres) {
    list.push_back(toGoverningRule(dataCentre.from));
  }
  for (const auto& [name, host] : aRules.hostsOutOfService) {
    list.push_back(toGoverningRule(host.from));
  }
  std::sort(
    list.begin(), list.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.line < aRight.line;
    });
  return list;
}

} // namespace toucanridge
