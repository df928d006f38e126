#include <cmath>
#include <persimmonpoint/traffic/admission.hpp>

namespace persimmonpoint::traffic {

result<void>
admission::admit(std::string_view team, rate_limit limit, double jitter, instant now) {
    rate_limit const part{limit.per_second * this->share, limit.burst * this->share};
    duration wait{0};
    {
        std::scoped_lock const guard(this->mutex);
        auto found = this->buckets.find(team);
        if (found == this->buckets.end()) {
            found =
                this->buckets.emplace(team, token_bucket(part, 0, this->started)).first;
        }
        if (found->second.limit() != part) {
            found->second.set_limit(part, now);
        }
        wait = found->second.take(now);
    }
    if (wait == duration::zero()) {
        return boost::outcome_v2::success();
    }
    double const seconds = to_seconds(wait) * (1 + jitter);
    auto const milliseconds = static_cast<long long>(std::ceil(seconds * 1000));
    return error{
        "53400", "team \"" + std::string(team) + "\" is over its rate", effect::not_run,
        "retry after " + std::to_string(milliseconds) + " ms"};
}

} // namespace persimmonpoint::traffic
