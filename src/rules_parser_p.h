#ifndef TOUCANRIDGE_RULES_PARSER_P_H
#define TOUCANRIDGE_RULES_PARSER_P_H

/// The parser of the rules file. rules_words.cpp reads single words,
/// rules_parse.cpp has one function for each kind of rule, and rules_check.cpp
/// checks rules against each other once the whole file is read.

#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rules_p.h"

namespace toucanridge {

/// A word of a line.
struct Token
{
  std::string text;
  std::uint32_t column = 1; ///< where it begins, from 1
};

/// @returns the words of a line
std::vector<Token>
tokenize(std::string_view aLine);

/// @returns the text without leading and trailing blanks
std::string
trim(std::string_view aText);

/// @returns true when the text is a name: 1 to 64 letters, digits or - _ / .
bool
isName(const std::string& aText);

/// Parses the whole text as an integer.
/// @returns false when the text is anything else or out of the type's range
template<class T>
bool
readNumber(std::string_view aText, T& aValue, int aBase = 10)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aValue, aBase);
  return result.ec == std::errc() && result.ptr == end && !aText.empty();
}

/// Parses one file; use an object once. It goes on after a fault, so that all
/// faults of a file are reported.
class RulesParser
{
public:
  RulesResult parse(std::string_view aText);

private:
  /// Parses the rest of a line into m_rules.
  using ParseFunction = void (RulesParser::*)();
  struct Keyword
  {
    const char* name;
    ParseFunction parse;
  };
  static const Keyword kKeywords[];

  void parseLine(std::string_view aLine);
  bool parseComment(std::string_view aComment, std::uint32_t aColumn);
  /// Checks that need the whole file.
  void checkWholeFile();
  void checkSnapshots();
  void checkClasses();
  template<class Map>
  void checkClassNames(const Map& aMap, const char* aWhat);

  // One function for each keyword, called with the words after it.
  void parseDataCentre();
  void parseHost();
  void parseService();
  void parseServer();
  void parseSnapshot();
  void parseClass();
  void parseHedge();
  void parseRetry();
  void parseShare();
  void parseRights();
  void parseLift();

  /// Adds a fault in the current line.
  void addFault(std::uint32_t aColumn, std::string aMessage);
  /// Adds a fault in the line of a rule.
  void addFaultAt(const Provenance& aWhere, std::string aMessage);
  // nextToken(), expectWord() and the read...() functions consume one word.
  // When it is missing or invalid, they add a fault and return null or false;
  // aWhat is the description of the word in the fault.
  const Token* nextToken(const char* aWhat);
  bool expectWord(const char* aExpected);
  bool readName(const char* aWhat, std::string& aValue);
  bool readCount(const char* aWhat,
                 std::uint32_t aMin,
                 std::uint32_t aMax,
                 std::uint32_t& aValue);
  bool readTime(const char* aWhat,
                std::chrono::milliseconds aMin,
                std::chrono::milliseconds aMax,
                std::chrono::milliseconds& aValue);
  bool readPercent(const char* aWhat, double& aValue);
  bool readChoice(const char* aWhat,
                  const std::vector<const char*>& aChoices,
                  std::size_t& aValue);
  bool readServers(ServiceRule& aService);
  bool readServiceNames(const std::string& aApplication,
                        std::vector<std::string>& aNames);
  bool atEnd() const { return m_nextToken >= m_tokens.size(); }
  /// Adds a fault and returns false unless all words of the line were read.
  bool expectEnd();

  std::shared_ptr<RuleSet> m_rules = std::make_shared<RuleSet>();
  std::vector<RuleFault> m_faults;
  std::vector<Token> m_tokens;
  std::size_t m_nextToken = 0;   ///< index into m_tokens
  std::uint32_t m_line = 0;      ///< number of the current line, from 1
  std::uint32_t m_endColumn = 1; ///< column after the rule, before its comment
  Provenance m_provenance;       ///< of the current line
  /// Addresses of `server ... leaving` rules, applied by checkWholeFile().
  std::vector<std::pair<std::string, Provenance>> m_leavingServers;
  std::map<std::string, std::string> m_serviceByServer; ///< to find duplicates
};

} // namespace toucanridge

#endif // TOUCANRIDGE_RULES_PARSER_P_H
