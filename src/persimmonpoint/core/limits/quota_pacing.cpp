#include <persimmonpoint/core/limits/quota_pacing.hpp>

namespace persimmonpoint {

namespace {

/// Longer waits are left to the caller, who is told the time.
constexpr duration longest_wait = std::chrono::milliseconds(30);
/// Operations of one team that may wait at one host.
constexpr std::size_t most_of_a_team = 2;
/// Hosts that were all restarted link up and choose their lenders in less time.
constexpr duration longest_lender_wait = std::chrono::milliseconds(250);
/// Operations of one team that may wait at one host for a lender.
constexpr std::size_t most_without_lender = 32;

} // namespace

bool quota_pacing::may_wait(std::string_view team, duration wait) const {
    auto const found = this->counts.find(team);
    std::size_t const present = found == this->counts.end() ? 0 : found->second;
    return wait <= longest_wait && present < most_of_a_team;
}

bool quota_pacing::may_wait_for_lender(std::string_view team, duration age) const {
    auto const found = this->counts.find(team);
    std::size_t const present = found == this->counts.end() ? 0 : found->second;
    return age < longest_lender_wait && present < most_without_lender;
}

void quota_pacing::add(std::string_view team, std::uint64_t number, instant due) {
    this->waiting.emplace(due, waiting_operation{std::string(team), number});
    auto found = this->counts.find(team);
    if (found == this->counts.end()) {
        found = this->counts.emplace(std::string(team), 0).first;
    }
    ++found->second;
}

std::vector<std::uint64_t> quota_pacing::take_due(instant now) {
    std::vector<std::uint64_t> due;
    while (!this->waiting.empty() && this->waiting.begin()->first <= now) {
        waiting_operation const& first = this->waiting.begin()->second;
        due.push_back(first.number);
        auto const count = this->counts.find(first.team);
        if (--count->second == 0) {
            this->counts.erase(count);
        }
        this->waiting.erase(this->waiting.begin());
    }
    return due;
}

std::optional<instant> quota_pacing::next_due() const {
    return this->waiting.empty() ? std::nullopt
                                 : std::optional(this->waiting.begin()->first);
}

} // namespace persimmonpoint
