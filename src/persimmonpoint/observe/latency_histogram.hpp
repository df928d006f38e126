#ifndef PERSIMMONPOINT_OBSERVE_LATENCY_HISTOGRAM_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_LATENCY_HISTOGRAM_HPP_INCLUDED

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::observe {

/// Latencies in fixed buckets, as Prometheus takes them.
class latency_histogram {
public:
    void add(duration latency);
    /// Lines of the text format. `labels`: `name="value"` pairs with commas, or empty.
    void write(std::string& out, std::string_view name, std::string_view labels) const;

private:
    /// Upper bounds in seconds.
    static constexpr std::array<double, 12> bounds = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                      0.2,   0.4,   0.8,  1.5,  3,    6};
    std::array<std::uint64_t, bounds.size()> within{};
    boost::accumulators::accumulator_set<
        double,
        boost::accumulators::
            stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>>
        all;
};

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_LATENCY_HISTOGRAM_HPP_INCLUDED
