#include <persimmonpoint/core/limits/service_meter.hpp>

namespace persimmonpoint {

namespace {

// Weights of a new sample in the exponential averages.
constexpr double usual_weight = 0.01;
constexpr double recent_weight = 0.1;
constexpr double failing_weight = 0.05;

void average(double& mean, double sample, double weight) {
    mean = mean > 0 ? mean + weight * (sample - mean) : sample;
}

} // namespace

service_class service_class_of(upstream_request const& order) {
    return {order.priority, order.kind, order.writes};
}

double service_meter::answered(service_class const& kind, duration time) {
    double const seconds = to_seconds(time);
    class_times& known = this->times[kind];
    average(known.usual, seconds, usual_weight);
    average(known.recent, seconds, recent_weight);
    this->failing_share -= failing_weight * this->failing_share;
    return known.usual > 0 ? seconds / known.usual : 1;
}

void service_meter::failed() {
    this->failing_share += failing_weight * (1 - this->failing_share);
}

duration service_meter::recent(service_class const& kind) const {
    auto const found = this->times.find(kind);
    return found == this->times.end()
               ? duration(0)
               : std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(found->second.recent));
}

} // namespace persimmonpoint
