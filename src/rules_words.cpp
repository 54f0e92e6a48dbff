#include "rules_parser_p.h"

#include <algorithm>
#include <cctype>

namespace toucanridge {

using std::chrono::milliseconds;

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

bool
isName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '/' || aChar == '.';
         });
}

void
RulesParser::addFault(std::uint32_t aColumn, std::string aMessage)
{
  m_faults.push_back({ m_line, aColumn, std::move(aMessage) });
}

void
RulesParser::addFaultAt(const Provenance& aWhere, std::string aMessage)
{
  m_faults.push_back({ aWhere.line, 1, std::move(aMessage) });
}

const Token*
RulesParser::nextToken(const char* aWhat)
{
  if (atEnd()) {
    addFault(m_endColumn, std::string("expected ") + aWhat);
    return nullptr;
  }
  return &m_tokens[m_nextToken++];
}

bool
RulesParser::expectWord(const char* aExpected)
{
  const Token* token = nextToken((std::string("'") + aExpected + "'").c_str());
  if (token == nullptr) {
    return false;
  }
  if (token->text != aExpected) {
    addFault(token->column,
             std::string("expected '") + aExpected + "', found '" +
               token->text + "'");
    return false;
  }
  return true;
}

bool
RulesParser::readName(const char* aWhat, std::string& aValue)
{
  const Token* token = nextToken(aWhat);
  if (token == nullptr) {
    return false;
  }
  if (!isName(token->text)) {
    addFault(token->column,
             std::string("invalid ") + aWhat + " '" + token->text +
               "': letters, digits and - _ / . up to 64");
    return false;
  }
  aValue = token->text;
  return true;
}

bool
RulesParser::readCount(const char* aWhat,
                       std::uint32_t aMin,
                       std::uint32_t aMax,
                       std::uint32_t& aValue)
{
  const Token* token = nextToken(aWhat);
  if (token == nullptr) {
    return false;
  }
  if (!readNumber(token->text, aValue) || aValue < aMin || aValue > aMax) {
    addFault(token->column,
             std::string(aWhat) + " must be a whole number from " +
               std::to_string(aMin) + " to " + std::to_string(aMax));
    return false;
  }
  return true;
}

bool
RulesParser::readTime(const char* aWhat,
                      milliseconds aMin,
                      milliseconds aMax,
                      milliseconds& aValue)
{
  const Token* token = nextToken(aWhat);
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
  // The first bound on the value keeps value * unit from overflowing.
  const bool valid = unit != 0 && readNumber(text, value) && value >= 0 &&
                     value <= aMax.count() &&
                     milliseconds(value * unit) >= aMin &&
                     milliseconds(value * unit) <= aMax;
  if (!valid) {
    addFault(token->column,
             std::string(aWhat) + " must be a time from " +
               std::to_string(aMin.count()) + "ms to " +
               std::to_string(aMax.count()) + "ms, such as 20ms or 2s");
    return false;
  }
  aValue = milliseconds(value * unit);
  return true;
}

bool
RulesParser::readPercent(const char* aWhat, double& aValue)
{
  const Token* token = nextToken(aWhat);
  if (token == nullptr) {
    return false;
  }
  std::string_view text = token->text;
  std::uint32_t value = 0;
  if (text.empty() || text.back() != '%' ||
      !readNumber(text.substr(0, text.size() - 1), value) || value > 100) {
    addFault(token->column,
             std::string(aWhat) + " must be a share from 0% to 100%");
    return false;
  }
  aValue = value / 100.0;
  return true;
}

bool
RulesParser::readChoice(const char* aWhat,
                        const std::vector<const char*>& aChoices,
                        std::size_t& aValue)
{
  const Token* token = nextToken(aWhat);
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
  addFault(token->column, std::string(aWhat) + " must be " + list);
  return false;
}

bool
RulesParser::expectEnd()
{
  if (atEnd()) {
    return true;
  }
  addFault(m_tokens[m_nextToken].column,
           "unexpected '" + m_tokens[m_nextToken].text + "'");
  return false;
}

} // namespace toucanridge
