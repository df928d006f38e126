#ifndef PERSIMMONPOINT_CORE_SERVICE_LEVEL_BURN_RATE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_SERVICE_LEVEL_BURN_RATE_HPP_INCLUDED

/// How fast an objective's error budget is spent. A burn rate of 1 spends it exactly in
/// the time that the objective is meant for; 10 spends it ten times as fast.

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

/// An alert needs the rate in both windows: the long one tells that much was spent, the
/// short one that it still goes on.
struct burn_rule {
    std::string name;
    std::chrono::seconds long_window{0};
    std::chrono::seconds short_window{0};
    double threshold = 1; ///< Burn rate from which on the rule alerts.
};

/// The two usual rules: a fast burn over an hour and a slow one over six hours.
std::vector<burn_rule> usual_burn_rules();

struct burn_alert {
    std::chrono::seconds begin{0}; ///< Since 1970.
    std::chrono::seconds end{0};   ///< The last second in which the rule alerted.
};

/// What one rule saw.
struct burn_finding {
    burn_rule rule;
    double last = 0;  ///< In the long window, at the end of the record.
    double worst = 0; ///< In the long window.
    std::chrono::seconds worst_at{0};
    std::vector<burn_alert> alerts;
};

struct request_tally {
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    std::uint64_t total() const { return this->good + this->bad; }
};

/// Requests by second, whatever the order they come in.
class burn_rate {
public:
    /// `target`: share of good requests, below 1.
    explicit burn_rate(double target);

    void add(std::chrono::seconds when, bool good);

    request_tally total() const;
    /// Share of the budget that all requests of the record have spent; 1 is all of it.
    double budget_spent() const;
    /// Seconds in which nothing was asked are part of a window, but not asked about.
    burn_finding find(burn_rule const& rule) const;
    std::map<std::chrono::seconds, request_tally> const& by_second() const;

private:
    double rate(request_tally const& tally) const;

    double allowed;
    std::map<std::chrono::seconds, request_tally> tallies;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_SERVICE_LEVEL_BURN_RATE_HPP_INCLUDED
