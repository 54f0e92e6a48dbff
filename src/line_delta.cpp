#include "line_delta_p.h"

#include <string_view>
#include <unordered_map>

namespace toucanridge {
namespace {

/// Splits a text into lines that keep their newline, so that joining them
/// restores the text exactly.
std::vector<std::string_view>
splitLines(std::string_view aText)
{
  std::vector<std::string_view> lines;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    const std::size_t size =
      end == std::string_view::npos ? aText.size() : end + 1;
    lines.push_back(aText.substr(0, size));
    aText.remove_prefix(size);
  }
  return lines;
}

} // namespace

std::vector<LineOp>
makeLineDelta(const std::string& aOld, const std::string& aNew)
{
  const auto oldLines = splitLines(aOld);
  std::unordered_map<std::string_view, std::uint32_t> firstIndexOf;
  for (std::uint32_t i = 0; i < oldLines.size(); ++i) {
    firstIndexOf.emplace(oldLines[i], i);
  }
  std::vector<LineOp> ops;
  std::uint32_t nextOld = 0; // index after the last old line copied
  for (const std::string_view line : splitLines(aNew)) {
    const bool continues =
      nextOld < oldLines.size() && oldLines[nextOld] == line;
    const auto found = continues ? firstIndexOf.end() : firstIndexOf.find(line);
    if (!continues && found == firstIndexOf.end()) {
      if (ops.empty() || ops.back().count > 0) {
        ops.emplace_back();
      }
      ops.back().text += line;
      continue;
    }
    const std::uint32_t from = continues ? nextOld : found->second;
    if (ops.empty() || ops.back().count == 0 ||
        ops.back().from + ops.back().count != from) {
      ops.push_back({ from, 0, {} });
    }
    ++ops.back().count;
    nextOld = from + 1;
  }
  return ops;
}

std::optional<std::string>
applyLineDelta(const std::string& aOld,
               const std::vector<LineOp>& aOps,
               std::size_t aMaxBytes)
{
  const auto lines = splitLines(aOld);
  std::string text;
  for (const LineOp& op : aOps) {
    if (op.from > lines.size() || op.count > lines.size() - op.from) {
      return std::nullopt;
    }
    for (std::uint32_t i = 0; i < op.count; ++i) {
      text += lines[op.from + i];
      if (text.size() > aMaxBytes) {
        return std::nullopt;
      }
    }
    if (op.count == 0) {
      text += op.text;
    }
    if (text.size() > aMaxBytes) {
      return std::nullopt;
    }
  }
  return text;
}

} // namespace toucanridge
