#ifndef PERSIMMONPOINT_CORE_ROUTING_FLOOR_BOOK_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_FLOOR_BOOK_HPP_INCLUDED

#include <deque>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Log positions of one group's primary, and since when each covers everything.
///
/// A primary that proves to lead answers with a position which covers every commit that
/// was acknowledged before the request was sent. A read that accepts data of an age may
/// use the oldest position that was asked for within that age: replicas reach it soonest.
class floor_book {
public:
    /// `asked`: when the request was sent that the primary answered with the position.
    void observe(instant asked, log_position position);

    /// A position that covers all commits acknowledged more than `age` before `now`.
    std::optional<log_position> floor_for(duration age, instant now) const;

    /// Time since the newest observation was asked for; nothing if there is none.
    std::optional<duration> newest_age(instant now) const;

private:
    struct observation {
        instant asked;
        log_position position;
    };
    std::deque<observation> observations; ///< By time asked, oldest first.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_FLOOR_BOOK_HPP_INCLUDED
