#include <algorithm>
#include <persimmonpoint/core/limits/intake_budget.hpp>
#include <tuple>

namespace persimmonpoint {

intake_budget::holder intake_budget::join() {
    this->shares.emplace(++this->last_holder, share());
    return this->last_holder;
}

void intake_budget::leave(holder id) {
    auto const found = this->shares.find(id);
    if (found != this->shares.end()) {
        this->taken -= found->second.bytes;
        this->shares.erase(found);
    }
}

std::map<intake_budget::holder, intake_budget::share>::iterator
intake_budget::heaviest() {
    return std::max_element(
        this->shares.begin(), this->shares.end(),
        [](auto const& left, auto const& right) {
            auto const weight = [](share const& each) {
                return std::make_tuple(each.bytes > 0 && !each.has_request, each.bytes);
            };
            return weight(left.second) < weight(right.second);
        });
}

std::vector<intake_budget::holder>
intake_budget::hold(holder id, std::size_t bytes, bool has_request) {
    std::vector<holder> closed;
    auto const found = this->shares.find(id);
    if (found == this->shares.end()) {
        return closed;
    }
    std::size_t const counted = bytes - std::min(bytes, uncounted_caller_bytes);
    this->taken += counted - found->second.bytes;
    found->second = {counted, has_request};
    while (this->taken > this->most) {
        auto const next = this->heaviest();
        closed.push_back(next->first);
        this->taken -= next->second.bytes;
        this->shares.erase(next);
    }
    return closed;
}

} // namespace persimmonpoint
