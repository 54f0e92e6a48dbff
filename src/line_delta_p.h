#ifndef TOUCANRIDGE_LINE_DELTA_P_H
#define TOUCANRIDGE_LINE_DELTA_P_H

/// Line deltas between two revisions of a text.

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gossip_wire_p.h"

namespace toucanridge {

/// @returns operations that turn the old text into the new one
std::vector<LineOp>
makeLineDelta(const std::string& aOld, const std::string& aNew);

/// Applies a delta.
/// @param[in] aMaxBytes upper limit for the size of the result
/// @returns nothing when an operation copies lines that the old text doesn't
///          have, or when the result is too large
std::optional<std::string>
applyLineDelta(const std::string& aOld,
               const std::vector<LineOp>& aOps,
               std::size_t aMaxBytes);

} // namespace toucanridge

#endif // TOUCANRIDGE_LINE_DELTA_P_H
