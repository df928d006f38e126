#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_STORE_RETRY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_STORE_RETRY_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/interfaces/random_source.hpp>

namespace persimmonpoint {

/// When a kind of call to the store that failed is made again.
///
/// Load it answers: a store that turns a third of a large fleet away, or answers none of
/// it. Calls that each host repeats at a fixed short interval would use up the rate that
/// all hosts share, so the pause grows with the time that the calls have failed, and
/// hosts that failed together don't return together.
class store_retry {
public:
    /// A call failed. Returns the pause before the next one; `limit` bounds it.
    duration failed(instant now, duration limit, random_source& random);
    void succeeded() { this->failing_since.reset(); }

private:
    std::optional<instant> failing_since;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_STORE_RETRY_HPP_INCLUDED
