#include <persimmonpoint/observe/latency_histogram.hpp>
#include <sstream>

namespace persimmonpoint::observe {

void latency_histogram::add(duration latency) {
    double const seconds = to_seconds(latency);
    this->all(seconds);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        if (seconds <= bounds[i]) {
            ++this->within[i];
        }
    }
}

void latency_histogram::write(
    std::string& out, std::string_view name, std::string_view labels) const {
    std::ostringstream text;
    std::string const separator = labels.empty() ? "" : ",";
    auto const bucket = [&](std::string_view bound, std::uint64_t count) {
        text << name << "_bucket{" << labels << separator << "le=\"" << bound << "\"} "
             << count << '\n';
    };
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        std::ostringstream bound;
        bound << bounds[i];
        bucket(bound.str(), this->within[i]);
    }
    bucket("+Inf", boost::accumulators::count(this->all));
    text << name << "_sum{" << labels << "} " << boost::accumulators::sum(this->all)
         << '\n';
    text << name << "_count{" << labels << "} " << boost::accumulators::count(this->all)
         << '\n';
    out += text.str();
}

} // namespace persimmonpoint::observe
