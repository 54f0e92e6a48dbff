#include "relay_wire_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

constexpr std::size_t kBitsPerByte = 8;

} // namespace

std::string
makeBits(const std::vector<std::size_t>& aIndexes, std::size_t aSize)
{
  std::string bits((aSize + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (const std::size_t index : aIndexes) {
    auto& byte = bits[index / kBitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) |
                             (1U << (index % kBitsPerByte)));
  }
  return bits;
}

std::vector<std::size_t>
readBits(const std::string& aBits, std::size_t aSize)
{
  std::vector<std::size_t> indexes;
  const std::size_t known = std::min(aSize, aBits.size() * kBitsPerByte);
  for (std::size_t i = 0; i < known; ++i) {
    const auto byte = static_cast<unsigned char>(aBits[i / kBitsPerByte]);
    if ((byte >> (i % kBitsPerByte) & 1U) != 0) {
      indexes.push_back(i);
    }
  }
  return indexes;
}

} // namespace toucanridge
