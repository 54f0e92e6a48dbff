#ifndef TOUCANRIDGE_RECORD_MERGE_P_H
#define TOUCANRIDGE_RECORD_MERGE_P_H

/// Merges the parts of a query into the greatest of their fixed-size records.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace toucanridge {

constexpr std::size_t kRecordBytes = 16;

/// @param[in] aParts bodies of the parts; a remainder shorter than a record is
///            ignored
/// @param[in] aMaxRecords number of records to keep
/// @returns the greatest records in descending order, compared as unsigned
///          bytes; equal records are all kept
std::string
mergeRecords(const std::vector<std::string_view>& aParts,
             std::size_t aMaxRecords);

} // namespace toucanridge

#endif // TOUCANRIDGE_RECORD_MERGE_P_H
