#ifndef TOUCANRIDGE_RULES_PARSER_P_H
#define TOUCANRIDGE_RULES_PARSER_P_H

/// The parser of the rules file: readers of single words in rules_words.cpp,
/// one function a kind of rule in rules_parse.cpp, and the checks over the
/// whole file in rules_check.cpp.

#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rules_p.h"

namespace toucanridge {

/// A word of a line and where it begins, from 1.
struct Token
{
  std::string text;
  std::uint32_t column = 1;
};

/// @returns the words of a line
std::vector<Token>
tokenize(std::string_view aLine);

/// @returns the text without blanks at its ends
std::string
trim(std::string_view aText);

/// @returns true when the text is a name: letters, digits and - _ / .
bool
isName(const std::string& aText);

/// Reads a whole number that takes up the whole text.
template<class T>
bool
readNumber(std::string_view aText, T& aValue, int aBase = 10)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue, aBase);
  return result.ec == std::errc() && result.ptr == end && !aText.empty();
}

/// Parses one file; holds the position for fault messages.
class RulesParser
{
public:
  RulesResult run(std::string_view aText);

private:
  using Rule = void (RulesParser::*)();
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
            std::chrono::milliseconds aMin,
            std::chrono::milliseconds aMax,
            std::chrono::milliseconds& aValue);
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

} // namespace toucanridge

#endif // TOUCANRIDGE_RULES_PARSER_P_H
