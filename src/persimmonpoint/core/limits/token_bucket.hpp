#ifndef PERSIMMONPOINT_CORE_LIMITS_TOKEN_BUCKET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_TOKEN_BUCKET_HPP_INCLUDED

#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Holds up to `burst` tokens and gains `per_second` of them a second.
class token_bucket {
public:
    /// Starts with `tokens`, at most the burst.
    token_bucket(rate_limit limit, double tokens, instant now);

    /// Takes one token. Zero if one was there, else the time until one will be.
    duration take(instant now);
    /// A changed limit applies from now on; tokens over the new burst are dropped.
    void set_limit(rate_limit limit, instant now);
    double tokens(instant now);
    rate_limit const& limit() const { return this->rate; }

private:
    void refill(instant now);

    rate_limit rate;
    double available;
    instant refilled;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_TOKEN_BUCKET_HPP_INCLUDED
