#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// A rate and what may be saved up of it.
struct quota_part {
    double rate = 0;  ///< Operations a second.
    double burst = 0; ///< Operations.
};

/// By how much a team may be over its quota, and how fast a lower one is to be in force.
/// The operator's settings give these figures.
struct quota_rules {
    duration window = std::chrono::seconds(5);
    double overrun = 0.1; ///< Part of rate and burst.
    double slack = 20;    ///< Operations in a window.
    /// Callers are owed the old quota until a lower one is in force everywhere.
    duration lower_delay = std::chrono::milliseconds(2500);
};

/// A team's quota, divided: together, all hosts' parts and the lender's stay within what
/// the users allow a window to be over.
struct quota_split {
    quota_part fixed; ///< What each host may spend without asking anybody.
    quota_part lent;  ///< What the lender hands out, one operation at a time.
};

/// Where a fleet is so large that an operation saved up at each host would be much of the
/// quota, all of it is lent.
quota_split
split_quota(quota_part whole, std::size_t hosts, quota_rules const& rules = {});

/// A bucket that fills with time.
class quota_bucket {
public:
    quota_bucket(
        double tokens, instant now, duration lower_delay = quota_rules().lower_delay);
    /// When a lower rate applies; a higher one always does at once.
    enum class lowering {
        delayed, ///< The quota is lower: all hosts change within the time allowed.
        at_once  ///< More hosts share it.
    };
    void set_part(quota_part part, instant now, lowering when = lowering::delayed);
    /// Only this share of rate and burst is there from now on, until it is set again.
    void set_share(double share, instant now);
    /// Adds operations that were not spent elsewhere, up to the burst.
    void add(double operations, instant now);
    /// Drops what was saved up.
    void drain(instant now);
    /// Takes one operation. Zero if it was there, else the time until it will be.
    duration take(instant now);

private:
    void refill(instant now);

    void fill_until(instant time);

    duration lower_delay;
    quota_part part;
    double share = 1;
    std::optional<quota_part> lower; ///< Applies from `lower_from` on.
    instant lower_from{};
    double tokens;
    instant refilled;
};

/// When a part of a team's quota is to be lowered that was `before` and is `after`.
quota_bucket::lowering lowering_of(quota_part before, quota_part after);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED
