#include <persimmonpoint/core/service_level/objective.hpp>

namespace persimmonpoint {

namespace {

class served_objective final : public objective {
public:
    explicit served_objective(double target) : share(target) {}

    std::string name() const override { return "served"; }
    double target() const override { return this->share; }

    verdict judge(request_record const& request) const override {
        switch (request.result) {
        case request_result::served:
            return verdict::good;
        case request_result::callers_error:
        case request_result::over_rate:
            return verdict::not_counted;
        default:
            return verdict::bad;
        }
    }

private:
    double share;
};

class timely_objective final : public objective {
public:
    timely_objective(double target, double aim_ms) : share(target), aim_ms(aim_ms) {}

    std::string name() const override { return "in time"; }
    double target() const override { return this->share; }

    verdict judge(request_record const& request) const override {
        if (request.result != request_result::served) {
            return verdict::not_counted;
        }
        return request.took_ms <= this->aim_ms ? verdict::good : verdict::bad;
    }

private:
    double share;
    double aim_ms;
};

} // namespace

std::unique_ptr<objective> make_served_objective(double target) {
    return std::make_unique<served_objective>(target);
}

std::unique_ptr<objective> make_timely_objective(double target, double aim_ms) {
    return std::make_unique<timely_objective>(target, aim_ms);
}

} // namespace persimmonpoint
