#include <algorithm>
#include <persimmonpoint/core/service_level/burn_rate.hpp>

namespace persimmonpoint {

namespace {

using tally_map = std::map<std::chrono::seconds, request_tally>;

/// The sum of the seconds that a window ending with the newest one covers.
class sliding_window {
public:
    sliding_window(tally_map const& all, std::chrono::seconds length)
        : oldest(all.begin()), length(length) {}

    void advance(std::chrono::seconds now, request_tally const& newest) {
        this->sum.good += newest.good;
        this->sum.bad += newest.bad;
        // The second `now` is the window's last one, and in the map: the loop ends there.
        while (this->oldest->first <= now - this->length) {
            this->sum.good -= this->oldest->second.good;
            this->sum.bad -= this->oldest->second.bad;
            ++this->oldest;
        }
    }

    request_tally const& tally() const { return this->sum; }

private:
    tally_map::const_iterator oldest;
    std::chrono::seconds length;
    request_tally sum;
};

} // namespace

std::vector<burn_rule> usual_burn_rules() {
    using std::chrono::hours;
    using std::chrono::minutes;
    // Two and five per cent of a budget of 30 days, spent within the long window.
    return {
        {"fast", hours(1), minutes(5), 14.4},
        {"slow", hours(6), minutes(30), 6},
    };
}

burn_rate::burn_rate(double target) : allowed(1 - target) {}

void burn_rate::add(std::chrono::seconds when, bool good) {
    request_tally& tally = this->tallies[when];
    ++(good ? tally.good : tally.bad);
}

request_tally burn_rate::total() const {
    request_tally sum;
    for (auto const& [when, tally] : this->tallies) {
        sum.good += tally.good;
        sum.bad += tally.bad;
    }
    return sum;
}

double burn_rate::rate(request_tally const& tally) const {
    if (tally.total() == 0) {
        return 0;
    }
    double const bad_share =
        static_cast<double>(tally.bad) / static_cast<double>(tally.total());
    return bad_share / this->allowed;
}

double burn_rate::budget_spent() const {
    return this->rate(this->total());
}

burn_finding burn_rate::find(burn_rule const& rule) const {
    burn_finding found;
    found.rule = rule;
    sliding_window long_window(this->tallies, rule.long_window);
    sliding_window short_window(this->tallies, rule.short_window);
    bool alerting = false;
    for (auto const& [now, tally] : this->tallies) {
        long_window.advance(now, tally);
        short_window.advance(now, tally);
        found.last = this->rate(long_window.tally());
        if (found.last > found.worst) {
            found.worst = found.last;
            found.worst_at = now;
        }
        double const lesser = std::min(found.last, this->rate(short_window.tally()));
        bool const alerts = lesser >= rule.threshold;
        if (alerts && !alerting) {
            found.alerts.push_back({now, now});
        }
        if (alerts) {
            found.alerts.back().end = now;
        }
        alerting = alerts;
    }
    return found;
}

std::map<std::chrono::seconds, request_tally> const& burn_rate::by_second() const {
    return this->tallies;
}

} // namespace persimmonpoint
