#ifndef TOUCANRIDGE_CLOCK_P_H
#define TOUCANRIDGE_CLOCK_P_H

#include <chrono>

namespace toucanridge {

using Duration = std::chrono::nanoseconds;

/// Clock type of TimePoint, so that it can't be mixed with the time points of
/// std::chrono clocks. The time itself is read through ClockI.
struct MonotonicTag
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTag, Duration>;
  static constexpr bool kIsSteady = true;
};

using TimePoint = MonotonicTag::time_point;

/// Time source of all code that depends on the time; tests pass a ManualClock.
class ClockI
{
public:
  virtual ~ClockI() = default;
  /// @returns monotonic time that also advances while the machine is suspended
  virtual TimePoint now() const = 0;
};

/// The machine's clock (CLOCK_BOOTTIME).
class SystemClock final : public ClockI
{
public:
  TimePoint now() const override;
};

/// A clock that tests advance explicitly.
class ManualClock final : public ClockI
{
public:
  TimePoint now() const override { return m_now; }
  void advance(Duration aBy) { m_now += aBy; }

private:
  TimePoint m_now{ std::chrono::seconds(1000) };
};

/// @returns Unix time, for deadlines sent to other machines and for numbers
/// that
///          must increase across restarts of the machine
std::chrono::milliseconds
unixTime();

} // namespace toucanridge

#endif // TOUCANRIDGE_CLOCK_P_H
