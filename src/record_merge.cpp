#include "record_merge_p.h"

#include <algorithm>
#include <functional>

namespace toucanridge {

std::string
mergeRecords(const std::vector<std::string_view>& aParts,
             std::size_t aMaxRecords)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size();
         offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  // string_view compares as unsigned bytes.
  const std::size_t kept = std::min(aMaxRecords, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(),
                    std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

} // namespace toucanridge
