#include <algorithm>
#include <persimmonpoint/core/limits/quota_lender.hpp>

namespace persimmonpoint {

namespace {

/// An endorsement may be on its way for this long.
constexpr duration transit_time = std::chrono::milliseconds(150);
/// What a borrower is told while there is no lender.
constexpr duration no_lender_wait = std::chrono::milliseconds(500);

} // namespace

void quota_lender::set_host_count(std::size_t count) {
    this->host_count = std::max<std::size_t>(count, 1);
}

void quota_lender::set_limit(std::string_view team, quota_part whole, instant now) {
    auto found = this->teams.find(team);
    if (found == this->teams.end()) {
        found = this->teams.emplace(std::string(team), quota_bucket(0, now)).first;
    }
    found->second.set_part(lent_part(whole), now);
}

void quota_lender::forget_team(std::string_view team) {
    auto const found = this->teams.find(team);
    if (found != this->teams.end()) {
        this->teams.erase(found);
    }
}

void quota_lender::endorsed(std::string_view host, instant now) {
    this->endorsements[std::string(host)] = now;
}

bool quota_lender::may_lend(instant now) {
    std::erase_if(this->endorsements, [now](auto const& each) {
        return now - each.second > endorsement_life;
    });
    return this->endorsements.size() * 2 > this->host_count;
}

duration quota_lender::borrow(std::string_view team, instant now) {
    auto const found = this->teams.find(team);
    if (found == this->teams.end() || !this->may_lend(now)) {
        return no_lender_wait;
    }
    return found->second.take(now);
}

std::string const& lender_choice::choose(std::string_view wanted, instant now) {
    bool const over = now - this->last_endorsed > endorsement_life + transit_time;
    if (this->endorsed != wanted && !this->endorsed.empty() && !over) {
        static std::string const none;
        return none;
    }
    this->endorsed = wanted;
    this->last_endorsed = now;
    return this->endorsed;
}

} // namespace persimmonpoint
