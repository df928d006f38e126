#ifndef PERSIMMONPOINT_CORE_SERVICE_LEVEL_OBJECTIVE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SERVICE_LEVEL_OBJECTIVE_HPP_INCLUDED

#include <memory>
#include <persimmonpoint/core/service_level/request_record.hpp>
#include <string>

namespace persimmonpoint {

/// What an objective makes of one request.
enum class verdict {
    good,
    bad,
    not_counted ///< The objective promises nothing about such a request.
};

/// What a share of all requests is promised.
class objective {
public:
    virtual ~objective() = default;
    virtual std::string name() const = 0;
    /// Share of the counted requests that must be good, below 1.
    virtual double target() const = 0;
    virtual verdict judge(request_record const& request) const = 0;
};

/// Requests within their team's rate are served. What the caller did wrong, and what was
/// over the rate, isn't counted.
std::unique_ptr<objective> make_served_objective(double target);

/// Served requests are answered within `aim_ms`.
std::unique_ptr<objective> make_timely_objective(double target, double aim_ms);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SERVICE_LEVEL_OBJECTIVE_HPP_INCLUDED
