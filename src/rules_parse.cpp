#include "rules_parser_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

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
  { "data-centre", &RulesParser::dataCentre },
  { "host", &RulesParser::host },
  { "service", &RulesParser::service },
  { "server", &RulesParser::server },
  { "snapshot", &RulesParser::snapshot },
  { "class", &RulesParser::queryClass },
  { "hedge", &RulesParser::hedge },
  { "retry", &RulesParser::retry },
  { "share", &RulesParser::share },
  { "rights", &RulesParser::rights },
  { "lift", &RulesParser::lift },
};

void
RulesParser::dataCentre()
{
  DataCentreRule rule;
  std::size_t state = 0;
  if (!name("data centre name", rule.name) ||
      !choice("state", { "in", "out" }, state) || !ended()) {
    return;
  }
  if (m_rules->findDataCentre(rule.name) != nullptr) {
    fault(1, "data centre '" + rule.name + "' has a rule already");
    return;
  }
  rule.inService = state == 0;
  rule.from = m_from;
  m_rules->dataCentres.push_back(rule);
}

void
RulesParser::host()
{
  HostRule rule;
  if (!name("host name", rule.name) || !word("out") || !ended()) {
    return;
  }
  rule.from = m_from;
  if (!m_rules->hostsOut.emplace(rule.name, rule).second) {
    fault(1, "host '" + rule.name + "' has a rule already");
  }
}

bool
RulesParser::servers(ServiceRule& aService)
{
  const Token* token = next("servers");
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
      fault(column, "server '" + server.name + "' is not an IPv4 address:port");
      return false;
    }
    server.address = server.name.substr(0, colon);
    const auto owner = m_serverOwner.emplace(server.name, aService.name);
    if (!owner.second) {
      fault(column,
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
RulesParser::service()
{
  ServiceRule rule;
  const bool valid =
    name("service name", rule.name) && word("servers") && servers(rule) &&
    word("slots") && count("slots", 1, kMaxSlots, rule.slots) &&
    word("connections") &&
    count("connections", 1, kMaxConnections, rule.connections) &&
    word("connect-cost") &&
    time("connect-cost", milliseconds(0), milliseconds(1000), rule.connectCost);
  if (!valid) {
    return;
  }
  if (!atEnd() &&
      !(word("cold-slots") &&
        count("cold-slots", 1, rule.slots, rule.coldSlots) && ended())) {
    return;
  }
  // A slot needs a connection in use and a spare to replace a silent one.
  if (rule.connections < 2 * rule.slots) {
    fault(1, "connections must be at least twice the slots");
    return;
  }
  rule.from = m_from;
  if (!m_rules->serviceIndex.emplace(rule.name, m_rules->services.size())
         .second) {
    fault(1, "service '" + rule.name + "' has a rule already");
    return;
  }
  m_rules->services.push_back(rule);
}

void
RulesParser::server()
{
  const Token* token = next("server address");
  if (token == nullptr) {
    return;
  }
  const std::string address = token->text;
  if (word("leaving") && ended()) {
    m_leaving.emplace_back(address, m_from);
  }
}

/// Reads "01..20", "01,02" or whole names; a number stands for
/// "application/number".
bool
RulesParser::serviceNames(const std::string& aApplication,
                          std::vector<std::string>& aNames)
{
  const Token* token = next("services");
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
      fault(token->column, "services must be a range such as 01..20");
      return false;
    }
    for (std::uint32_t i = from; i <= to; ++i) {
      std::string number = std::to_string(i);
      number.insert(0, first.size() - number.size(), '0');
      std::string full = aApplication;
      full.append("/").append(number);
      aNames.push_back(std::move(full));
    }
    return true;
  }
  std::size_t pos = 0;
  while (pos <= text.size()) {
    auto comma = std::min(text.find(',', pos), text.size());
    const std::string part = text.substr(pos, comma - pos);
    if (!isName(part)) {
      fault(static_cast<std::uint32_t>(token->column + pos),
            "invalid service name '" + part + "'");
      return false;
    }
    std::string full;
    if (part.find('/') == std::string::npos) {
      full.append(aApplication).append("/");
    }
    aNames.push_back(full.append(part));
    pos = comma + 1;
  }
  return true;
}

void
RulesParser::snapshot()
{
  SnapshotRule rule;
  std::uint32_t id = 0;
  if (!name("application", rule.application) ||
      !count("snapshot number", 1, 0xffffffffU, id) || !word("services") ||
      !serviceNames(rule.application, rule.services) || !ended()) {
    return;
  }
  rule.id = id;
  rule.from = m_from;
  if (!m_rules->snapshots.emplace(rule.application, rule).second) {
    fault(1, "application '" + rule.application + "' has a snapshot already");
  }
}

void
RulesParser::queryClass()
{
  ClassRule rule;
  std::size_t wait = 0;
  std::size_t idempotent = 0;
  std::size_t fanOut = 0;
  const bool valid =
    name("class name", rule.name) && word("application") &&
    name("application", rule.application) && word("deadline") &&
    time("deadline", milliseconds(1), kMaxDeadline, rule.deadline) &&
    word("priority") && count("priority", 0, kMaxPriority, rule.priority) &&
    word("wait") && choice("wait", { "coverage", "latency" }, wait) &&
    word("idempotent") && choice("idempotent", { "yes", "no" }, idempotent) &&
    word("fan-out") && choice("fan-out", { "all", "one" }, fanOut) && ended();
  if (!valid) {
    return;
  }
  rule.wait = wait == 0 ? WaitFor::Coverage : WaitFor::Latency;
  rule.idempotent = idempotent == 0;
  rule.fanOut = fanOut == 0 ? FanOut::All : FanOut::One;
  rule.from = m_from;
  if (!m_rules->classes.emplace(rule.name, rule).second) {
    fault(1, "class '" + rule.name + "' has a rule already");
  }
}

void
RulesParser::hedge()
{
  std::string className;
  HedgeRule rule;
  if (!name("class name", className)) {
    return;
  }
  const Token* token = next("'off' or 'after'");
  if (token == nullptr) {
    return;
  }
  if (token->text == "off") {
    rule.mode = HedgeRule::Mode::Off;
    rule.budget = 0;
  } else if (token->text == "after") {
    std::uint32_t percentile = 0;
    if (!atEnd() && m_tokens[m_next].text[0] == 'p' &&
        readNumber(m_tokens[m_next].text.substr(1), percentile)) {
      if (percentile < 50 || percentile > 99) {
        fault(m_tokens[m_next].column, "percentile must be p50 to p99");
        return;
      }
      ++m_next;
      rule.percentile = percentile / 100.0;
    } else {
      rule.mode = HedgeRule::Mode::Fixed;
      if (!time("hedge delay", milliseconds(1), kMaxDeadline, rule.delay)) {
        return;
      }
    }
    if (!word("budget") || !percent("budget", rule.budget)) {
      return;
    }
  } else {
    fault(token->column, "expected 'off' or 'after'");
    return;
  }
  rule.from = m_from;
  if (ended() && !m_rules->hedges.emplace(className, rule).second) {
    fault(1, "class '" + className + "' has a hedge rule already");
  }
}

void
RulesParser::retry()
{
  std::string className;
  RetryRule rule;
  if (!name("class name", className) || !word("budget") ||
      !percent("budget", rule.budget) || !ended()) {
    return;
  }
  rule.from = m_from;
  if (!m_rules->retries.emplace(className, rule).second) {
    fault(1, "class '" + className + "' has a retry rule already");
  }
}

void
RulesParser::share()
{
  std::string className;
  ShareRule rule;
  if (!name("class name", className) || !word("at-most") ||
      !percent("share", rule.atMost) || !ended()) {
    return;
  }
  rule.from = m_from;
  if (!m_rules->shares.emplace(className, rule).second) {
    fault(1, "class '" + className + "' has a share rule already");
  }
}

void
RulesParser::rights()
{
  RightsRule rule;
  if (!word("lease") || !time("lease", kMinLease, kMaxLease, rule.lease) ||
      !ended()) {
    return;
  }
  if (m_rules->rights.from.line != 0) {
    fault(1, "the rights lease has a rule already");
    return;
  }
  rule.from = m_from;
  m_rules->rights = rule;
}

void
RulesParser::lift()
{
  if (!word("quarantine")) {
    return;
  }
  const Token* token = next("fingerprint");
  if (token == nullptr) {
    return;
  }
  LiftRule rule;
  if (token->text.size() != 16 ||
      !readNumber(token->text, rule.fingerprint, 16)) {
    fault(token->column, "fingerprint must be 16 hexadecimal digits");
    return;
  }
  rule.from = m_from;
  if (ended()) {
    m_rules->lifts.push_back(rule);
  }
}

/// Reads "asked by NAME : REASON" into m_from.
bool
RulesParser::comment(std::string_view aComment, std::uint32_t aColumn)
{
  constexpr std::string_view kPrefix = "asked by ";
  const std::string text = trim(aComment);
  const auto colon = text.find(':');
  const bool valid =
    text.compare(0, kPrefix.size(), kPrefix) == 0 && colon != std::string::npos;
  if (valid) {
    m_from.askedBy = trim(
      std::string_view(text).substr(kPrefix.size(), colon - kPrefix.size()));
    m_from.reason = trim(std::string_view(text).substr(colon + 1));
  }
  if (!valid || m_from.askedBy.empty() || m_from.reason.empty()) {
    fault(aColumn, "each rule needs a comment '# asked by NAME : REASON'");
    return false;
  }
  return true;
}

void
RulesParser::line(std::string_view aLine)
{
  const auto hash = aLine.find('#');
  const std::string_view rule = aLine.substr(0, hash);
  m_tokens = tokenize(rule);
  if (m_tokens.empty()) {
    return;
  }
  m_next = 1;
  m_endColumn = static_cast<std::uint32_t>(rule.size() + 1);
  m_from = Provenance{ m_line, trim(rule), {}, {} };
  const std::string_view remark = hash == std::string_view::npos
                                    ? std::string_view()
                                    : aLine.substr(hash + 1);
  const bool commented = comment(remark, m_endColumn);
  for (const Keyword& keyword : kKeywords) {
    if (m_tokens[0].text == keyword.name) {
      (this->*keyword.parse)();
      return;
    }
  }
  if (commented || !m_tokens.empty()) {
    fault(m_tokens[0].column, "unknown rule '" + m_tokens[0].text + "'");
  }
}

RulesResult
RulesParser::run(std::string_view aText)
{
  if (aText.size() > kMaxRulesBytes) {
    return { nullptr, { { 1, 1, "the file is over 1000000 bytes" } } };
  }
  std::size_t pos = 0;
  while (pos < aText.size()) {
    const auto end = std::min(aText.find('\n', pos), aText.size());
    ++m_line;
    line(aText.substr(pos, end - pos));
    pos = end + 1;
  }
  crossCheck();
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
  return RulesParser().run(aText);
}

} // namespace toucanridge
