#ifndef PERSIMMONPOINT_CORE_LIMITS_SERVICE_METER_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_SERVICE_METER_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <map>
#include <persimmonpoint/core/statement/upstream_request.hpp>
#include <persimmonpoint/core/time.hpp>

namespace persimmonpoint {

/// Statements that are expected to take a database about the same time.
struct service_class {
    std::uint32_t priority = 0;
    upstream_request_kind kind = upstream_request_kind::single;
    bool writes = false;

    friend auto operator<=>(service_class const&, service_class const&) = default;
};

service_class service_class_of(upstream_request const& order);

/// How long one database takes for statements, and how many of them it fails.
class service_meter {
public:
    /// A statement was answered. Returns its time relative to the usual one of its class.
    double answered(service_class const& kind, duration time);
    /// A statement failed, was refused or had no answer.
    void failed();

    /// Mean time of the last statements of the class; zero if there were none.
    duration recent(service_class const& kind) const;
    /// Share of the last statements that failed, from 0 to 1.
    double failing() const { return this->failing_share; }

private:
    struct class_times {
        double usual = 0;  ///< Seconds.
        double recent = 0; ///< Seconds.
    };

    std::map<service_class, class_times> times;
    double failing_share = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_SERVICE_METER_HPP_INCLUDED
