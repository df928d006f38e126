#include <persimmonpoint/core/recovery/token_demand.hpp>
#include <utility>

namespace persimmonpoint {

void token_demand::promotion_answered(std::uint64_t token, promotion_result result) {
    if (result == promotion_result::conflict && token == this->newest) {
        this->rejected = true;
    }
    if (result == promotion_result::unanswered) {
        this->unanswered = token;
    }
}

void token_demand::granted(std::uint64_t token) {
    this->newest = token;
    if (this->unanswered && token > *this->unanswered) {
        this->unanswered.reset();
    }
    this->renews = this->renews && this->unanswered;
}

token_freshness token_demand::next() {
    bool const needs_new = std::exchange(this->rejected, false) || this->renews;
    return needs_new ? token_freshness::require_new : token_freshness::prefer_new;
}

token_freshness token_demand::prepared() const {
    return this->unanswered ? token_freshness::require_new : token_freshness::any;
}

} // namespace persimmonpoint
