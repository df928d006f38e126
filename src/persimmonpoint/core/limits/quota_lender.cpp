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
        quota_bucket const empty(0, now, this->rules.lower_delay);
        found = this->teams.emplace(std::string(team), lent_quota{whole, empty}).first;
    }
    quota_split const split = split_quota(whole, this->host_count, this->rules);
    found->second.bucket.set_part(
        split.lent, now, lowering_of(found->second.whole, whole));
    found->second.whole = whole;
}

void quota_lender::forget_team(std::string_view team) {
    auto const found = this->teams.find(team);
    if (found != this->teams.end()) {
        this->teams.erase(found);
    }
}

void quota_lender::endorsed(std::string_view host, duration life, instant now) {
    this->update(now);
    this->endorsements[std::string(host)] = now + life;
    this->longest_life = std::max(this->longest_life, life);
    this->update(now);
    bool const is_first = this->seen_hosts.insert(std::string(host)).second;
    if (is_first && this->young_until && now < *this->young_until) {
        this->add_burst_part(now);
    }
}

void quota_lender::add_burst_part(instant now) {
    for (auto& each : this->teams) {
        quota_split const split =
            split_quota(each.second.whole, this->host_count, this->rules);
        each.second.bucket.add(
            split.lent.burst / static_cast<double>(this->host_count), now);
    }
}

void quota_lender::withdrawn(std::string_view host, instant now) {
    auto const found = this->endorsements.find(host);
    if (found != this->endorsements.end()) {
        this->endorsements.erase(found);
    }
    this->update(now);
}

double quota_lender::share(instant now) {
    std::erase_if(
        this->endorsements, [now](auto const& each) { return now > each.second; });
    auto const backers = static_cast<double>(this->endorsements.size());
    return std::min(1.0, backers / static_cast<double>(this->host_count));
}

void quota_lender::update(instant now) {
    // Nothing is known of the time since the endorsements before ran out.
    bool const gap = this->updated && now - *this->updated > this->longest_life;
    this->updated = now;
    double const present = this->share(now);
    for (auto& each : this->teams) {
        if (gap) {
            each.second.bucket.drain(now);
        }
        each.second.bucket.set_share(present, now);
    }
}

duration quota_lender::borrow(std::string_view team, instant now) {
    this->update(now);
    auto const found = this->teams.find(team);
    if (found == this->teams.end() || this->share(now) <= 0) {
        return no_lender_wait;
    }
    return found->second.bucket.take(now);
}

lender_choice::step lender_choice::choose(
    lender_candidate wanted, bool ended, bool heard, duration life, instant now) {
    bool const over = now > this->good_until + transit_time;
    if (this->endorsed.empty() || ended || over) {
        this->leaving = false;
        this->endorsed = wanted.linked ? wanted.name : std::string_view();
        if (!wanted.linked) {
            return step::wait;
        }
        this->good_until = now + life;
        return step::endorse;
    }
    if (this->endorsed != wanted.name && wanted.linked) {
        this->leaving = true;
    }
    if (this->leaving) {
        // If it is wanted again, it is endorsed only once the withdrawal is settled.
        return step::withdraw;
    }
    if (!heard) {
        return step::wait;
    }
    this->good_until = now + life;
    return step::endorse;
}

void lender_choice::released() {
    if (this->leaving) {
        this->endorsed.clear();
        this->leaving = false;
    }
}

} // namespace persimmonpoint
