#ifndef PERSIMMONPOINT_INTERFACES_RANDOM_SOURCE_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_RANDOM_SOURCE_HPP_INCLUDED

namespace persimmonpoint {

/// Random numbers for jitter. Not for secrets.
class random_source {
public:
    virtual ~random_source() = default;
    /// Even over [0, 1).
    virtual double unit() = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_RANDOM_SOURCE_HPP_INCLUDED
