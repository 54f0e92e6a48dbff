#include "rules_parser_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

// Warmth messages and leases hold the slots of a server as a 64-bit mask.
constexpr std::uint32_t kMaxSlots = 64;
constexpr std::uint32_t kMaxConnections = 10000;
constexpr std::uint32_t kMaxPriority = 9;
constexpr milliseconds kMaxDeadline{ 60000 };
constexpr milliseconds kMinLease{ 500 };
constexpr milliseconds kMaxLease{ 600000 };

bool
isIpv4(std::string_view aText)
{
  int parts = 0;
  while (true) {
    const auto dot = aText.find('.');
    std::uint32_t value = 0;
    if (!readNumber(aText.substr(0, dot), value) || value > 255) {
      return false;
    }
    ++parts;
    if (dot == std::string_view::npos) {
      return parts == 4;
    }
    aText.remove_prefix(dot + 1);
  }
}

} // namespace

const RulesParser::Keyword RulesParser::kKeywords[] = {
  { "data-centre", &RulesParser::parseDataCentre },
  { "host", &RulesParser::parseHost },
  { "service", &RulesParser::parseService },
  { "server", &RulesParser::parseServer },
  { "snapshot", &RulesParser::parseSnapshot },
  { "class", &RulesParser::parseClass },
  { "hedge", &RulesParser::parseHedge },
  { "retry", &RulesParser::parseRetry },
  { "share", &RulesParser::parseShare },
  { "rights", &RulesParser::parseRights },
  { "lift", &RulesParser::parseLift },
};

void
RulesParser::parseDataCentre()
{
  DataCentreRule rule;
  std::size_t state = 0;
  if (!readName("data centre name", rule.name) ||
      !readChoice("state", { "in", "out" }, state) || !expectEnd()) {
    return;
  }
  if (m_rules->findDataCentre(rule.name) != nullptr) {
    addFault(1, "data centre '" + rule.name + "' has a rule already");
    return;
  }
  rule.inService = state == 0;
  rule.from = m_provenance;
  m_rules->dataCentres.push_back(rule);
}

void
RulesParser::parseHost()
{
  HostRule rule;
  if (!readName("host name", rule.name) || !expectWord("out") || !expectEnd()) {
    return;
  }
  rule.from = m_provenance;
  if (!m_rules->hostsOutOfService.emplace(rule.name, rule).second) {
    addFault(1, "host '" + rule.name + "' has a rule already");
  }
}

bool
RulesParser::readServers(ServiceRule& aService)
{
  const Token* token = nextToken("servers");
  if (token == nullptr) {
    return false;
  }
  std::size_t pos = 0;
  while (pos <= token->text.size()) {
    auto comma = token->text.find(',', pos);
    if (comma == std::string::npos) {
      comma = token->text.size();
    }
    ServerRule server;
    server.name = token->text.substr(pos, comma - pos);
    const auto column = static_cast<std::uint32_t>(token->column + pos);
    const auto colon = server.name.find(':');
    const bool valid =
      colon != std::string::npos &&
      readNumber(std::string_view(server.name).substr(colon + 1),
                 server.port) &&
      server.port != 0 && isIpv4(server.name.substr(0, colon));
    if (!valid) {
      addFault(column,
               "server '" + server.name + "' is not an IPv4 address:port");
      return false;
    }
    server.address = server.name.substr(0, colon);
    const auto owner = m_serviceByServer.emplace(server.name, aService.name);
    if (!owner.second) {
      addFault(column,
               "server '" + server.name + "' belongs to service '" +
                 owner.first->second + "' already");
      return false;
    }
    aService.servers.push_back(server);
    pos = comma + 1;
  }
  return true;
}

void
RulesParser::parseService()
{
  ServiceRule rule;
  const bool valid =
    readName("service name", rule.name) && expectWord("servers") &&
    readServers(rule) && expectWord("slots") &&
    readCount("slots", 1, kMaxSlots, rule.slots) && expectWord("connections") &&
    readCount("connections", 1, kMaxConnections, rule.connections) &&
    expectWord("connect-cost") &&
    readTime(
      "connect-cost", milliseconds(0), milliseconds(1000), rule.connectCost);
  if (!valid) {
    return;
  }
  if (!atEnd() && !(expectWord("cold-slots") &&
                    readCount("cold-slots", 1, rule.slots, rule.coldSlots) &&
                    expectEnd())) {
    return;
  }
  // Each slot needs a connection in use and a spare one, which replaces it when
  // the server stops responding on it.
  if (rule.connections < 2 * rule.slots) {
    addFault(1, "connections must be at least twice the slots");
    return;
  }
  rule.from = m_provenance;
  if (!m_rules->serviceIndex.emplace(rule.name, m_rules->services.size())
         .second) {
    addFault(1, "service '" + rule.name + "' has a rule already");
    return;
  }
  m_rules->services.push_back(rule);
}

void
RulesParser::parseServer()
{
  const Token* token = nextToken("server address");
  if (token == nullptr) {
    return;
  }
  const std::string address = token->text;
  if (expectWord("leaving") && expectEnd()) {
    m_leavingServers.emplace_back(address, m_provenance);
  }
}

/// Reads a range such as "01..20" or a list such as "01,02". A name without a
/// slash stands for "application/name".
bool
RulesParser::readServiceNames(const std::string& aApplication,
                              std::vector<std::string>& aNames)
{
  const Token* token = nextToken("services");
  if (token == nullptr) {
    return false;
  }
  const std::string& text = token->text;
  const auto range = text.find("..");
  if (range != std::string::npos) {
    const std::string first = text.substr(0, range);
    const std::string last = text.substr(range + 2);
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    if (!readNumber(first, from) || !readNumber(last, to) || from > to ||
        to - from >= 10000 || first.size() != last.size()) {
      addFault(token->column, "services must be a range such as 01..20");
      return false;
    }
    for (std::uint32_t i = from; i <= to; ++i) {
      std::string number = std::to_string(i);
      number.insert(0, first.size() - number.size(), '0');
      std::string fullName = aApplication;
      fullName.append("/").append(number);
      aNames.push_back(std::move(fullName));
    }
    return true;
  }
  std::size_t pos = 0;
  while (pos <= text.size()) {
    auto comma = std::min(text.find(',', pos), text.size());
    const std::string part = text.substr(pos, comma - pos);
    if (!isName(part)) {
      addFault(static_cast<std::uint32_t>(token->column + pos),
               "invalid service name '" + part + "'");
      return false;
    }
    std::string fullName;
    if (part.find('/') == std::string::npos) {
      fullName.append(aApplication).append("/");
    }
    aNames.push_back(fullName.append(part));
    pos = comma + 1;
  }
  return true;
}

void
RulesParser::parseSnapshot()
{
  SnapshotRule rule;
  std::uint32_t id = 0;
  if (!readName("application", rule.application) ||
      !readCount("snapshot number", 1, 0xffffffffU, id) ||
      !expectWord("services") ||
      !readServiceNames(rule.application, rule.services) || !expectEnd()) {
    return;
  }
  rule.id = id;
  rule.from = m_provenance;
  if (!m_rules->snapshots.emplace(rule.application, rule).second) {
    addFault(1,
             "application '" + rule.application + "' has a snapshot already");
  }
}

void
RulesParser::parseClass()
{
  ClassRule rule;
  std::size_t wait = 0;
  std::size_t idempotent = 0;
  std::size_t fanOut = 0;
  const bool valid =
    readName("class name", rule.name) && expectWord("application") &&
    readName("application", rule.application) && expectWord("deadline") &&
    readTime("deadline", milliseconds(1), kMaxDeadline, rule.deadline) &&
    expectWord("priority") &&
    readCount("priority", 0, kMaxPriority, rule.priority) &&
    expectWord("wait") && readChoice("wait", { "coverage", "latency" }, wait) &&
    expectWord("idempotent") &&
    readChoice("idempotent", { "yes", "no" }, idempotent) &&
    expectWord("fan-out") && readChoice("fan-out", { "all", "one" }, fanOut) &&
    expectEnd();
  if (!valid) {
    return;
  }
  rule.wait = wait == 0 ? WaitFor::Coverage : WaitFor::Latency;
  rule.idempotent = idempotent == 0;
  rule.fanOut = fanOut == 0 ? FanOut::All : FanOut::One;
  rule.from = m_provenance;
  if (!m_rules->classes.emplace(rule.name, rule).second) {
    addFault(1, "class '" + rule.name + "' has a rule already");
  }
}

void
RulesParser::parseHedge()
{
  std::string className;
  HedgeRule rule;
  if (!readName("class name", className)) {
    return;
  }
  const Token* token = nextToken("'off' or 'after'");
  if (token == nullptr) {
    return;
  }
  if (token->text == "off") {
    rule.mode = HedgeRule::Mode::Off;
    rule.budget = 0;
  } else if (token->text == "after") {
    std::uint32_t percentile = 0;
    if (!atEnd() && m_tokens[m_nextToken].text[0] == 'p' &&
        readNumber(m_tokens[m_nextToken].text.substr(1), percentile)) {
      if (percentile < 50 || percentile > 99) {
        addFault(m_tokens[m_nextToken].column, "percentile must be p50 to p99");
        return;
      }
      ++m_nextToken;
      rule.percentile = percentile / 100.0;
    } else {
      rule.mode = HedgeRule::Mode::Fixed;
      if (!readTime("hedge delay", milliseconds(1), kMaxDeadline, rule.delay)) {
        return;
      }
    }
    if (!expectWord("budget") || !readPercent("budget", rule.budget)) {
      return;
    }
  } else {
    addFault(token->column, "expected 'off' or 'after'");
    return;
  }
  rule.from = m_provenance;
  if (expectEnd() && !m_rules->hedges.emplace(className, rule).second) {
    addFault(1, "class '" + className + "' has a hedge rule already");
  }
}

void
RulesParser::parseRetry()
{
  std::string className;
  RetryRule rule;
  if (!readName("class name", className) || !expectWord("budget") ||
      !readPercent("budget", rule.budget) || !expectEnd()) {
    return;
  }
  rule.from = m_provenance;
  if (!m_rules->retries.emplace(className, rule).second) {
    addFault(1, "class '" + className + "' has a retry rule already");
  }
}

void
RulesParser::parseShare()
{
  std::string className;
  ShareRule rule;
  if (!readName("class name", className) || !expectWord("at-most") ||
      !readPercent("share", rule.atMost) || !expectEnd()) {
    return;
  }
  rule.from = m_provenance;
  if (!m_rules->shares.emplace(className, rule).second) {
    addFault(1, "class '" + className + "' has a share rule already");
  }
}

void
RulesParser::parseRights()
{
  RightsRule rule;
  if (!expectWord("lease") ||
      !readTime("lease", kMinLease, kMaxLease, rule.lease) || !expectEnd()) {
    return;
  }
  if (m_rules->rights.from.line != 0) {
    addFault(1, "the rights lease has a rule already");
    return;
  }
  rule.from = m_provenance;
  m_rules->rights = rule;
}

void
RulesParser::parseLift()
{
  if (!expectWord("quarantine")) {
    return;
  }
  const Token* token = nextToken("fingerprint");
  if (token == nullptr) {
    return;
  }
  QuarantineLiftRule rule;
  if (token->text.size() != 16 ||
      !readNumber(token->text, rule.fingerprint, 16)) {
    addFault(token->column, "fingerprint must be 16 hexadecimal digits");
    return;
  }
  rule.from = m_provenance;
  if (expectEnd()) {
    m_rules->quarantineLifts.push_back(rule);
  }
}

/// Reads "asked by NAME : REASON" into m_provenance.
bool
RulesParser::parseComment(std::string_view aComment, std::uint32_t aColumn)
{
  constexpr std::string_view kPrefix = "asked by ";
  const std::string text = trim(aComment);
  const auto colon = text.find(':');
  const bool valid =
    text.compare(0, kPrefix.size(), kPrefix) == 0 && colon != std::string::npos;
  if (valid) {
    m_provenance.askedBy = trim(
      std::string_view(text).substr(kPrefix.size(), colon - kPrefix.size()));
    m_provenance.reason = trim(std::string_view(text).substr(colon + 1));
  }
  if (!valid || m_provenance.askedBy.empty() || m_provenance.reason.empty()) {
    addFault(aColumn, "each rule needs a comment '# asked by NAME : REASON'");
    return false;
  }
  return true;
}

void
RulesParser::parseLine(std::string_view aLine)
{
  const auto hash = aLine.find('#');
  const std::string_view rule = aLine.substr(0, hash);
  m_tokens = tokenize(rule);
  if (m_tokens.empty()) {
    return;
  }
  m_nextToken = 1;
  m_endColumn = static_cast<std::uint32_t>(rule.size() + 1);
  m_provenance = Provenance{ m_line, trim(rule), {}, {} };
  const std::string_view comment = hash == std::string_view::npos
                                     ? std::string_view()
                                     : aLine.substr(hash + 1);
  const bool hasValidComment = parseComment(comment, m_endColumn);
  for (const Keyword& keyword : kKeywords) {
    if (m_tokens[0].text == keyword.name) {
      (this->*keyword.parse)();
      return;
    }
  }
  if (hasValidComment || !m_tokens.empty()) {
    addFault(m_tokens[0].column, "unknown rule '" + m_tokens[0].text + "'");
  }
}

RulesResult
RulesParser::parse(std::string_view aText)
{
  if (aText.size() > kMaxRulesBytes) {
    return { nullptr, { { 1, 1, "the file is over 1000000 bytes" } } };
  }
  std::size_t pos = 0;
  while (pos < aText.size()) {
    const auto end = std::min(aText.find('\n', pos), aText.size());
    ++m_line;
    parseLine(aText.substr(pos, end - pos));
    pos = end + 1;
  }
  checkWholeFile();
  std::stable_sort(m_faults.begin(),
                   m_faults.end(),
                   [](const RuleFault& aLeft, const RuleFault& aRight) {
                     return aLeft.line < aRight.line;
                   });
  if (!m_faults.empty()) {
    return { nullptr, m_faults };
  }
  return { m_rules, {} };
}

RulesResult
parseRules(std::string_view aText)
{
  return RulesParser().parse(aText);
}

} // namespace toucanridge
