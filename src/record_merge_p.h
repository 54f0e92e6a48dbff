#ifndef TOUCANRIDGE_RECORD_MERGE_P_H
#define TOUCANRIDGE_RECORD_MERGE_P_H

/// Merges the parts of a query: fixed-size records, greatest first.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace toucanridge {

constexpr std::size_t kRecordBytes = 16;

/// @param[in] aParts bodies of the parts; a remainder shorter than a record is
///            no record
/// @param[in] aMost records to keep
/// @returns the greatest records byte by byte, greatest first; equal ones count
///          each
std::string
mergeRecords(const std::vector<std::string_view>& aParts, std::size_t aMost);

} // namespace toucanridge

#endif // TOUCANRIDGE_RECORD_MERGE_P_H
