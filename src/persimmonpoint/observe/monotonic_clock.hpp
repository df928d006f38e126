#ifndef PERSIMMONPOINT_OBSERVE_MONOTONIC_CLOCK_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_MONOTONIC_CLOCK_HPP_INCLUDED

#include <persimmonpoint/interfaces/clock.hpp>

namespace persimmonpoint::observe {

/// The clock of timers; it doesn't count the time in which the host was suspended.
class monotonic_clock final : public clock {
public:
    instant now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_MONOTONIC_CLOCK_HPP_INCLUDED
