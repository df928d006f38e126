#ifndef PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED

#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// A part of a team's rate and burst.
struct quota_part {
    double rate = 0;  ///< Operations a second.
    double burst = 0; ///< Operations.
};

/// The part of a team's quota that one host may spend: a fixed part that needs nobody, and
/// a grant that ends by itself unless it is renewed.
class quota_share {
public:
    explicit quota_share(instant now);

    void set_fixed(quota_part part, instant now);
    void set_grant(quota_part part, instant valid_until, instant now);

    /// Takes one operation. Zero if it may run, else the time until one may.
    duration take(instant now);
    /// Operations a second that callers asked for of late, refused ones too.
    double demand(instant now) const;

private:
    quota_part part_at(instant now) const;
    void refill(instant now);

    quota_part fixed;
    quota_part granted;
    instant granted_until{};
    double tokens = 0;
    instant refilled;
    double asked = 0; ///< Decays with time.
    instant asked_at;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_QUOTA_SHARE_HPP_INCLUDED
