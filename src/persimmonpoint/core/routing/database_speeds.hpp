#ifndef PERSIMMONPOINT_CORE_ROUTING_DATABASE_SPEEDS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_DATABASE_SPEEDS_HPP_INCLUDED

#include <map>
#include <persimmonpoint/core/limits/service_meter.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint {

/// What the owner of a database's connections tells of its speed with an answer.
struct speed_report {
    service_class kind;
    duration time{0};   ///< Mean of the last statements of the class; 0: not known.
    double failing = 0; ///< Share of the last statements that failed.
};

/// How the databases of one group compare in speed, by the reports of their owners.
///
/// Load it answers: databases of a group that differ in speed, or one that turns slow or
/// fails a part of its statements while its health check is good. By their load alone it
/// would keep its share of the reads.
class database_speeds {
public:
    void reported(std::string_view database, speed_report const& report, instant now);
    void forget(std::string_view database);
    /// How many times longer a statement is expected to take than at the fastest database
    /// of the group, with the attempts that fail; 1 if it isn't known to be slower.
    double slowness(std::string_view database, instant now) const;

private:
    struct known_time {
        duration time{0};
        instant seen{};
    };
    struct known_speed {
        std::map<service_class, known_time> times;
        double failing = 0;
        instant seen{};
    };

    std::map<std::string, known_speed, std::less<>> speeds;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_DATABASE_SPEEDS_HPP_INCLUDED
