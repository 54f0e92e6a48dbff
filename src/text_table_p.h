#ifndef TOUCANRIDGE_TEXT_TABLE_P_H
#define TOUCANRIDGE_TEXT_TABLE_P_H

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

namespace toucanridge {

/// A table of text with aligned columns below a row of titles.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aTitles)
    : m_rows{ std::move(aTitles) }
  {
  }

  void add(std::vector<std::string> aRow) { m_rows.push_back(std::move(aRow)); }
  /// @returns true when there is no row below the titles
  bool empty() const { return m_rows.size() == 1; }

  /// Prints the table and an empty line.
  void print(std::ostream& aOut) const
  {
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : m_rows) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        aOut << (i == 0 ? "" : "  ") << row[i];
        if (i + 1 < row.size()) {
          aOut << std::string(widths[i] - row[i].size(), ' ');
        }
      }
      aOut << '\n';
    }
    aOut << '\n';
  }

private:
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace toucanridge

#endif // TOUCANRIDGE_TEXT_TABLE_P_H
