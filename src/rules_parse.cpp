#include "rules_p.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

namespace toucanridge {
namespace {

using std::chrono::milliseconds;

struct Token
{
  std::string text;
  std::uint32_t column = 1;
};

constexpr std::uint32_t kMaxSlots = 64;
constexpr std::uint32_t kMaxConnections = 10000;
constexpr std::uint32_t kMaxPriority = 9;
constexpr milliseconds kMaxDeadline{ 60000 };
constexpr milliseconds kMinLease{ 500 };
constexpr milliseconds kMaxLease{ 600000 };

std::vector<Token>
tokenize(std::string_view aLine)
{
  std::vector<Token> tokens;
  std::size_t pos = 0;
  while (pos < aLine.size()) {
    if (std::isspace(static_cast<unsigned char>(aLine[pos])) != 0) {
      ++pos;
      continue;
    }
    const std::size_t start = pos;
    while (pos < aLine.size() &&
           std::isspace(static_cast<unsigned char>(aLine[pos])) == 0) {
      ++pos;
    }
    tokens.push_back({ std::string(aLine.substr(start, pos - start)),
                       static_cast<std::uint32_t>(start + 1) });
  }
  return tokens;
}

std::string
trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t\r");
  return std::string(aText.substr(first, last - first + 1));
}

template<class T>
bool
readNumber(std::string_view aText, T& aValue, int aBase = 10)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue, aBase);
  return result.ec == std::errc() && result.ptr == end && !aText.empty();
}

bool
isName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '/' || aChar == '.';
         });
}

/// Parses one file; holds the position for fault messages.
class Parser
{
public:
  RulesResult run(std::string_view aText);

private:
  using Rule = void (Parser::*)();
  struct Keyword
  {
    const char* name;
    Rule parse;
  };
  static const Keyword kKeywords[];

  void line(std::string_view aLine);
  bool comment(std::string_view aComment, std::uint32_t aColumn);
  void crossCheck();
  void checkSnapshots();
  void checkClasses();
  template<class Map>
  void checkClassNames(const Map& aMap, const char* aWhat);

  void dataCentre();
  void host();
  void service();
  void server();
  void snapshot();
  void queryClass();
  void hedge();
  void retry();
  void share();
  void rights();
  void lift();

  void fault(std::uint32_t aColumn, std::string aMessage);
  void faultAt(const Provenance& aWhere, std::string aMessage);
  const Token* next(const char* aWhat);
  bool word(const char* aExpected);
  bool name(const char* aWhat, std::string& aValue);
  bool count(const char* aWhat,
             std::uint32_t aMin,
             std::uint32_t aMax,
             std::uint32_t& aValue);
  bool time(const char* aWhat,
            milliseconds aMin,
            milliseconds aMax,
            milliseconds& aValue);
  bool percent(const char* aWhat, double& aValue);
  bool choice(const char* aWhat,
              const std::vector<const char*>& aChoices,
              std::size_t& aValue);
  bool servers(ServiceRule& aService);
  bool serviceNames(const std::string& aApplication,
                    std::vector<std::string>& aNames);
  bool atEnd() const { return m_next >= m_tokens.size(); }
  bool ended();

  std::shared_ptr<RuleSet> m_rules = std::make_shared<RuleSet>();
  std::vector<RuleFault> m_faults;
  std::vector<Token> m_tokens;
  std::size_t m_next = 0;
  std::uint32_t m_line = 0;
  std::uint32_t m_endColumn = 1;
  Provenance m_from;
  std::vector<std::pair<std::string, Provenance>> m_leaving;
  std::map<std::string, std::string> m_serverOwner;
};

const Parser::Keyword Parser::kKeywords[] = {
  { "data-centre", &Parser::dataCentre },
  { "host", &Parser::host },
  { "service", &Parser::service },
  { "server", &Parser::server },
  { "snapshot", &Parser::snapshot },
  { "class", &Parser::queryClass },
  { "hedge", &Parser::hedge },
  { "retry", &Parser::retry },
  { "share", &Parser::share },
  { "rights", &Parser::rights },
  { "lift", &Parser::lift },
};

void
Parser::fault(std::uint32_t aColumn, std::string aMessage)
{
  m_faults.push_back({ m_line, aColumn, std::move(aMessage) });
}

void
Parser::faultAt(const Provenance& aWhere, std::string aMessage)
{
  m_faults.push_back({ aWhere.line, 1, std::move(aMessage) });
}

const Token*
Parser::next(const char* aWhat)
{
  if (atEnd()) {
    fault(m_endColumn, std::string("expected ") + aWhat);
    return nullptr;
  }
  return &m_tokens[m_next++];
}

bool
Parser::word(const char* aExpected)
{
  const Token* token = next((std::string("'") + aExpected + "'").c_str());
  if (token == nullptr) {
    return false;
  }
  if (token->text != aExpected) {
    fault(token->column,
          std::string("expected '") + aExpected + "', found '" + token->text +
            "'");
    return false;
  }
  return true;
}

bool
Parser::name(const char* aWhat, std::string& aValue)
{
  const Token* token = next(aWhat);
  if (token == nullptr) {
    return false;
  }
  if (!isName(token->text)) {
    fault(token->column,
          std::string("invalid ") + aWhat + " '" + token->text +
            "': letters, digits and - _ / . up to 64");
    return false;
  }
  aValue = token->text;
  return true;
}

bool
Parser::count(const char* aWhat,
              std::uint32_t aMin,
              std::uint32_t aMax,
              std::uint32_t& aValue)
{
  const Token* token = next(aWhat);
  if (token == nullptr) {
    return false;
  }
  if (!readNumber(token->text, aValue) || aValue < aMin || aValue > aMax) {
    fault(token->column,
          std::string(aWhat) + " must be a whole number from " +
            std::to_string(aMin) + " to " + std::to_string(aMax));
    return false;
  }
  return true;
}

bool
Parser::time(const char* aWhat,
             milliseconds aMin,
             milliseconds aMax,
             milliseconds& aValue)
{
  const Token* token = next(aWhat);
  if (token == nullptr) {
    return false;
  }
  std::string_view text = token->text;
  std::int64_t unit = 0;
  if (text.size() > 2 && text.substr(text.size() - 2) == "ms") {
    unit = 1;
    text.remove_suffix(2);
  } else if (text.size() > 1 && text.back() == 's') {
    unit = 1000;
    text.remove_suffix(1);
  }
  std::int64_t value = 0;
  const bool valid = unit != 0 && readNumber(text, value) && value >= 0 &&
                     value <= aMax.count() &&
                     milliseconds(value * unit) >= aMin &&
                     milliseconds(value * unit) <= aMax;
  if (!valid) {
    fault(token->column,
          std::string(aWhat) + " must be a time from " +
            std::to_string(aMin.count()) + "ms to " +
            std::to_string(aMax.count()) + "ms, such as 20ms or 2s");
    return false;
  }
  aValue = milliseconds(value * unit);
  return true;
}

bool
Parser::percent(const char* aWhat, double& aValue)
{
  const Token* token = next(aWhat);
  if (token == nullptr) {
    return false;
  }
  std::string_view text = token->text;
  std::uint32_t value = 0;
  if (text.empty() || text.back() != '%' ||
      !readNumber(text.substr(0, text.size() - 1), value) || value > 100) {
    fault(token->column,
          std::string(aWhat) + " must be a share from 0% to 100%");
    return false;
  }
  aValue = value / 100.0;
  return true;
}

bool
Parser::choice(const char* aWhat,
               const std::vector<const char*>& aChoices,
               std::size_t& aValue)
{
  const Token* token = next(aWhat);
  if (token == nullptr) {
    return false;
  }
  std::string list;
  for (std::size_t i = 0; i < aChoices.size(); ++i) {
    if (token->text == aChoices[i]) {
      aValue = i;
      return true;
    }
    list += std::string(i == 0 ? "" : " or ") + aChoices[i];
  }
  fault(token->column, std::string(aWhat) + " must be " + list);
  return false;
}

bool
Parser::ended()
{
  if (atEnd()) {
    return true;
  }
  fault(m_tokens[m_next].column, "unexpected '" + m_tokens[m_next].text + "'");
  return false;
}

void
Parser::dataCentre()
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
Parser::host()
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

bool
Parser::servers(ServiceRule& aService)
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
Parser::service()
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
Parser::server()
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
Parser::serviceNames(const std::string& aApplication,
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
Parser::snapshot()
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
Parser::queryClass()
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
Parser::hedge()
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
Parser::retry()
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
Parser::share()
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
Parser::rights()
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
Parser::lift()
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
Parser::comment(std::string_view aComment, std::uint32_t aColumn)
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
Parser::line(std::string_view aLine)
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

void
Parser::checkSnapshots()
{
  for (const auto& [application, snapshot] : m_rules->snapshots) {
    std::set<std::string> seen;
    for (const std::string& service : snapshot.services) {
      if (m_rules->findService(service) == nullptr) {
        faultAt(snapshot.from, "no rule for service '" + service + "'");
      }
      if (!seen.insert(service).second) {
        faultAt(snapshot.from, "service '" + service + "' is named twice");
      }
    }
  }
}

template<class Map>
void
Parser::checkClassNames(const Map& aMap, const char* aWhat)
{
  for (const auto& [className, rule] : aMap) {
    if (m_rules->classes.count(className) == 0) {
      faultAt(rule.from,
              std::string(aWhat) + " names unknown class '" + className + "'");
    }
  }
}

void
Parser::checkClasses()
{
  for (const auto& [className, rule] : m_rules->classes) {
    const auto snapshot = m_rules->snapshots.find(rule.application);
    if (snapshot == m_rules->snapshots.end()) {
      faultAt(rule.from,
              "application '" + rule.application + "' has no snapshot rule");
    } else if (rule.fanOut == FanOut::All && !rule.idempotent) {
      faultAt(rule.from, "a class that is not idempotent needs fan-out one");
    }
  }
  checkClassNames(m_rules->hedges, "hedge");
  checkClassNames(m_rules->retries, "retry");
  checkClassNames(m_rules->shares, "share");
  for (const auto& [className, rule] : m_rules->hedges) {
    const auto found = m_rules->classes.find(className);
    if (found != m_rules->classes.end() && !found->second.idempotent &&
        rule.mode != HedgeRule::Mode::Off) {
      faultAt(rule.from,
              "class '" + className + "' is not idempotent: hedge must be off");
    }
  }
}

void
Parser::crossCheck()
{
  for (const auto& [address, from] : m_leaving) {
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
      faultAt(from, "no service has a server '" + address + "'");
    }
  }
  checkSnapshots();
  checkClasses();
  if (m_rules->dataCentres.empty()) {
    m_line = 1;
    fault(1, "no data-centre rule: at least one data centre is needed");
  }
}

RulesResult
Parser::run(std::string_view aText)
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
                   [](const RuleFault& a_, const RuleFault& aRight) {
                     return a_.line < aRight.line;
                   });
  if (!m_faults.empty()) {
    return { nullptr, m_faults };
  }
  return { m_rules, {} };
}

} // namespace

RulesResult
parseRules(std::string_view aText)
{
  return Parser().run(aText);
}

} // namespace toucanridge
