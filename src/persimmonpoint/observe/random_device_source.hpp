#ifndef PERSIMMONPOINT_OBSERVE_RANDOM_DEVICE_SOURCE_HPP_INCLUDED
#define PERSIMMONPOINT_OBSERVE_RANDOM_DEVICE_SOURCE_HPP_INCLUDED

#include <persimmonpoint/interfaces/random_source.hpp>
#include <random>

namespace persimmonpoint::observe {

/// Random numbers seeded by the system.
class random_device_source final : public random_source {
public:
    double unit() override {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
    }

private:
    std::mt19937_64 engine{std::random_device{}()};
};

} // namespace persimmonpoint::observe

#endif // PERSIMMONPOINT_OBSERVE_RANDOM_DEVICE_SOURCE_HPP_INCLUDED
