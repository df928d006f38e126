#include <persimmonpoint/core/limits/memory_budget.hpp>
#include <utility>

namespace persimmonpoint {

bool memory_budget::take(std::size_t bytes) {
    if (bytes > this->most - this->taken) {
        return false;
    }
    this->taken += bytes;
    return true;
}

memory_share::memory_share(std::shared_ptr<memory_budget> budget, memory_limits limits)
    : budget(std::move(budget)), limits(limits) {}

memory_share::~memory_share() {
    this->budget->give_back(this->charge(this->held));
}

memory_answer memory_share::resize(std::size_t bytes) {
    std::size_t const before = this->charge(this->held);
    std::size_t const after = this->charge(bytes);
    if (bytes > this->held && bytes > this->limits.most) {
        return memory_answer::over_limit;
    }
    if (after > before && !this->budget->take(after - before)) {
        return memory_answer::out_of_budget;
    }
    if (after < before) {
        this->budget->give_back(before - after);
    }
    this->held = bytes;
    return memory_answer::held;
}

/// Of so many bytes, those that count against the budget.
std::size_t memory_share::charge(std::size_t bytes) const {
    return bytes > this->limits.allowance ? bytes - this->limits.allowance : 0;
}

} // namespace persimmonpoint
