#ifndef PERSIMMONPOINT_CORE_RECOVERY_RETRY_BUDGET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_RETRY_BUDGET_HPP_INCLUDED

#include <algorithm>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/interfaces/random_source.hpp>

namespace persimmonpoint {

/// Token bucket that limits retries to a fraction of the requests, so that retries don't
/// overload a failing group.
class retry_budget {
public:
    /// Adds a fraction of a token. Called once per request, at its first attempt.
    void deposit() {
        this->tokens = std::min(this->tokens + tokens_per_request, max_tokens);
    }

    /// Takes the token for one retry. Returns false if none is left.
    bool try_withdraw() {
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    static constexpr double tokens_per_request = 0.1;
    static constexpr double max_tokens = 20;
    double tokens = max_tokens;
};

/// Delay before a retry: exponential backoff with full jitter, that is uniform between
/// zero and a bound that doubles with each attempt.
inline duration backoff(unsigned attempt, random_source& random) {
    constexpr duration base_delay = std::chrono::milliseconds(10);
    constexpr unsigned max_doublings = 5;
    duration const max_delay = base_delay * (1U << std::min(attempt, max_doublings));
    return std::chrono::duration_cast<duration>(max_delay * random.unit());
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_RETRY_BUDGET_HPP_INCLUDED
