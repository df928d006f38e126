#include <algorithm>
#include <persimmonpoint/core/limits/quota_lender.hpp>

namespace persimmonpoint {

namespace {

/// An endorsement may be on its way for this long.
constexpr duration transit_time = std::chrono::milliseconds(150);
/// Part of the burst that a new lender starts with.
constexpr double starting_share = 0.15;
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

void quota_lender::withdrawn(std::string_view host) {
    auto const found = this->endorsements.find(host);
    if (found != this->endorsements.end()) {
        this->endorsements.erase(found);
    }
}

bool quota_lender::may_lend(instant now) {
    std::erase_if(this->endorsements, [now](auto const& each) {
        return now - each.second > endorsement_life;
    });
    bool const endorsed = this->endorsements.size() * 2 > this->host_count;
    if (endorsed && !this->lending) {
        // The lender before has lent what was saved up.
        for (auto& each : this->teams) {
            each.second.drain_to(starting_share, now);
        }
    }
    this->lending = endorsed;
    return endorsed && !this->retired;
}

duration quota_lender::borrow(std::string_view team, instant now) {
    auto const found = this->teams.find(team);
    if (found == this->teams.end() || !this->may_lend(now)) {
        return no_lender_wait;
    }
    return found->second.take(now);
}

lender_choice::step
lender_choice::choose(std::string_view wanted, bool ended, bool heard, instant now) {
    bool const over = now - this->last_endorsed > endorsement_life + transit_time;
    if (this->endorsed.empty() || ended || over) {
        this->endorsed = wanted;
        this->leaving = false;
        this->last_endorsed = now;
        return step::endorse;
    }
    if (this->endorsed != wanted) {
        this->leaving = true;
        return step::withdraw;
    }
    if (this->leaving) {
        // Withdrawn but wanted again: only once that is settled.
        return step::withdraw;
    }
    if (!heard) {
        return step::wait;
    }
    this->last_endorsed = now;
    return step::endorse;
}

void lender_choice::released() {
    if (this->leaving) {
        this->endorsed.clear();
        this->leaving = false;
    }
}

} // namespace persimmonpoint
