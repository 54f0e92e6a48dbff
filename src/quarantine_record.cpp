#include "quarantine_record_p.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace toucanridge {
namespace {

/// Length of a host's turn. Its first part may start a trial; in the rest, the
/// news of the trial reaches the host whose turn is next. A record reaches all
/// hosts within a second, and their clocks of the quarantine differ by as much.
constexpr std::chrono::milliseconds kTurn{ 4000 };
constexpr std::chrono::milliseconds kOpenPart{ 2000 };

template<class Integer>
void
put(std::string& aText, Integer aValue)
{
  auto value = static_cast<std::uint64_t>(aValue);
  for (std::size_t i = 0; i < sizeof(Integer); ++i, value >>= 8U) {
    aText.push_back(static_cast<char>(value & 0xffU));
  }
}

template<class Integer>
Integer
take(const std::string& aText, std::size_t& aOffset)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    value |=
      static_cast<std::uint64_t>(static_cast<unsigned char>(aText[aOffset + i]))
      << (8 * i);
  }
  aOffset += sizeof(Integer);
  return static_cast<Integer>(value);
}

} // namespace

bool
QuarantineRecord::supersedes(const QuarantineRecord& aOther) const
{
  return std::make_tuple(round, state) >
         std::make_tuple(aOther.round, aOther.state);
}

std::string
encodeRecords(const std::vector<QuarantineRecord>& aRecords)
{
  std::string text;
  for (const QuarantineRecord& record : aRecords) {
    put(text, record.fingerprint);
    put(text, record.service);
    put(text, record.round);
    put(text, static_cast<std::uint8_t>(record.state));
    put(text, static_cast<std::int32_t>(record.left.count()));
    put(text, static_cast<std::uint16_t>(record.keep.count()));
  }
  return text;
}

std::optional<std::vector<QuarantineRecord>>
decodeRecords(const std::string& aBytes)
{
  if (aBytes.size() % QuarantineRecord::kBytes != 0) {
    return std::nullopt;
  }
  std::vector<QuarantineRecord> records(aBytes.size() /
                                        QuarantineRecord::kBytes);
  std::size_t offset = 0;
  for (QuarantineRecord& record : records) {
    record.fingerprint = take<std::uint64_t>(aBytes, offset);
    record.service = take<std::uint32_t>(aBytes, offset);
    record.round = take<std::uint16_t>(aBytes, offset);
    const auto state = take<std::uint8_t>(aBytes, offset);
    if (state > static_cast<std::uint8_t>(QuarantineRecord::State::Answered)) {
      return std::nullopt;
    }
    record.state = static_cast<QuarantineRecord::State>(state);
    record.left = std::chrono::milliseconds(take<std::int32_t>(aBytes, offset));
    record.keep = std::chrono::seconds(take<std::uint16_t>(aBytes, offset));
  }
  return records;
}

bool
isTrialTurn(std::uint64_t aFingerprint,
            const std::vector<std::string>& aHosts,
            const std::string& aSelf,
            Duration aSinceEnd)
{
  if (aSinceEnd < Duration(0) || aSinceEnd % kTurn >= Duration(kOpenPart)) {
    return false;
  }
  const std::uint64_t seed =
    aFingerprint + static_cast<std::uint64_t>(aSinceEnd / kTurn);
  const auto weight = [seed](const std::string& aHost) {
    return XXH3_64bits_withSeed(aHost.data(), aHost.size(), seed);
  };
  return std::none_of(
    aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
      return weight(aHost) > weight(aSelf);
    });
}

} // namespace toucanridge
