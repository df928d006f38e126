#ifndef PERSIMMONPOINT_INTERFACES_CLOCK_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_CLOCK_HPP_INCLUDED

#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// The host's monotonic clock.
class clock {
public:
    virtual ~clock() = default;
    virtual instant now() const = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_CLOCK_HPP_INCLUDED
