#include <algorithm>
#include <persimmonpoint/core/recovery/commit_fence.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

/// Between two ticks of a host that wasn't suspended.
constexpr duration longest_tick = std::chrono::milliseconds(150);
/// What arrived while the host was suspended is read within this time.
constexpr duration reading_up = std::chrono::milliseconds(100);
/// A store that could not be read is taken to be out of reach for so long.
constexpr duration failure_age = std::chrono::seconds(2);
/// While commits depend on readings, the next one begins this long behind the last.
constexpr duration reading_interval = std::chrono::milliseconds(150);
/// Readings go on for so long behind the last commit that depended on one.
constexpr duration reading_patience = std::chrono::seconds(1);

bool matches(
    fenced_primary const& fenced, std::string_view group, std::string_view primary) {
    return fenced.group == group && (fenced.primary.empty() || fenced.primary == primary);
}

} // namespace

bool commit_fence::take(
    std::string const& by,
    fence_notice const& notice,
    notice_source source,
    instant now) {
    auto const [found, is_new] = this->notices.try_emplace(by);
    if (is_new || notice.number > found->second.notice.number) {
        found->second = known_notice{notice, source, now};
    }
    return notice.number >= found->second.notice.number;
}

void commit_fence::reading_succeeded(instant began_at) {
    this->read_at = std::max(began_at, this->read_at.value_or(began_at));
    this->failed_at.reset();
}

void commit_fence::reading_failed(instant now) {
    this->failed_at = now;
}

void commit_fence::ticked(instant now) {
    this->note_gap(now);
    this->last_tick = now;
}

void commit_fence::note_gap(instant now) {
    if (now - this->last_tick > longest_tick) {
        this->awake_since = now;
        this->last_tick = now;
    }
}

duration commit_fence::hearing_age(instant now) {
    this->note_gap(now);
    return std::min(peer_evidence_age, now - this->awake_since - reading_up);
}

bool commit_fence::is_in_force(known_notice const& known, instant now) const {
    return now - known.seen < fence_lifetime;
}

commit_fence::fence_count*
commit_fence::counted(std::string_view by, fenced_primary const& about) {
    auto const found =
        std::find_if(this->in_force.begin(), this->in_force.end(), [&](auto const& each) {
            return each.by == by && each.about == about;
        });
    return found == this->in_force.end() ? nullptr : &*found;
}

bool commit_fence::refuses(
    std::string_view group, std::string_view primary, instant now) {
    bool refused = false;
    for (auto const& [by, known] : this->notices) {
        if (!this->is_in_force(known, now)) {
            continue;
        }
        for (fenced_primary const& each : known.notice.fenced) {
            if (!matches(each, group, primary)) {
                continue;
            }
            refused = true;
            if (fence_count* const count = this->counted(by, each)) {
                ++count->refused;
            }
        }
    }
    return refused;
}

fence_verdict commit_fence::judge(
    std::string_view group, std::string_view primary, bool all_heard, instant now) {
    this->note_gap(now);
    if (this->refuses(group, primary, now)) {
        return fence_verdict::refuse;
    }
    if (all_heard) {
        return fence_verdict::allow;
    }
    this->needed_at = now;
    if (this->failed_at && now - *this->failed_at <= failure_age) {
        return fence_verdict::allow;
    }
    bool const was_read = this->read_at && *this->read_at >= this->awake_since &&
                          now - *this->read_at <= store_evidence_age;
    return was_read ? fence_verdict::allow : fence_verdict::needs_reading;
}

bool commit_fence::wants_reading(instant now) const {
    if (!this->needed_at || now - *this->needed_at > reading_patience) {
        return false;
    }
    std::optional<instant> const last = std::max(this->read_at, this->failed_at);
    return !last || *last < this->awake_since || now - *last >= reading_interval;
}

std::vector<fence_change> commit_fence::changes(instant now) {
    std::vector<fence_change> changed;
    std::vector<fence_count> present;
    for (auto const& [by, known] : this->notices) {
        for (fenced_primary const& each : known.notice.fenced) {
            if (!this->is_in_force(known, now)) {
                continue;
            }
            fence_count const* const before = this->counted(by, each);
            if (before == nullptr) {
                changed.push_back({each, by, known.source, true, 0});
            }
            present.push_back(
                before != nullptr ? *before : fence_count{each, by, known.source, 0});
        }
    }
    for (fence_count const& each : this->in_force) {
        bool const lasts =
            std::any_of(present.begin(), present.end(), [&each](auto const& one) {
                return one.by == each.by && one.about == each.about;
            });
        if (!lasts) {
            changed.push_back({each.about, each.by, each.source, false, each.refused});
        }
    }
    this->in_force = std::move(present);
    return changed;
}

} // namespace persimmonpoint
