#include "relay_wire_p.h"

#include <algorithm>

namespace toucanridge {
namespace {

constexpr std::size_t kBitsInByte = 8;

} // namespace

std::string
makeBits(const std::vector<std::size_t>& aIndexes, std::size_t aSize)
{
  std::string bits((aSize + kBitsInByte - 1) / kBitsInByte, '\0');
  for (const std::size_t index : aIndexes) {
    auto& byte = bits[index / kBitsInByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) |
                             (1U << (index % kBitsInByte)));
  }
  return bits;
}

std::vector<std::size_t>
readBits(const std::string& aBits, std::size_t aSize)
{
  std::vector<std::size_t> indexes;
  const std::size_t known = std::min(aSize, aBits.size() * kBitsInByte);
  for (std::size_t i = 0; i < known; ++i) {
    const auto byte = static_cast<unsigned char>(aBits[i / kBitsInByte]);
    if ((byte >> (i % kBitsInByte) & 1U) != 0) {
      indexes.push_back(i);
    }
  }
  return indexes;
}

} // namespace toucanridge
