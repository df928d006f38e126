#ifndef PERSIMMONPOINT_ENGINE_BOOT_CLOCK_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_BOOT_CLOCK_HPP_INCLUDED

#include <persimmonpoint/interfaces/clock.hpp>
#include <time.h>

namespace persimmonpoint::engine {

/// A monotonic clock that also counts the time in which the host was suspended, so that
/// what a host was lent has ended when it wakes.
class boot_clock final : public clock {
public:
    instant now() const override {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return instant(
            std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
    }
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_BOOT_CLOCK_HPP_INCLUDED
