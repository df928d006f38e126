#include <algorithm>
#include <persimmonpoint/core/recovery/fence_call.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

constexpr duration renewal_interval = std::chrono::milliseconds(300);
/// An answer counts for so long from when its notice was told. The notice is in force for
/// longer, so that a call for a promotion has time to take effect.
constexpr duration answer_age = std::chrono::seconds(1);
/// A linked host has this much time to answer before the store is written.
constexpr duration answer_patience = std::chrono::milliseconds(100);
constexpr duration write_interval = std::chrono::seconds(1);
constexpr duration write_retry = std::chrono::milliseconds(200);
/// A writing counts for so long from its beginning.
constexpr duration written_age = std::chrono::seconds(2);
constexpr std::size_t most_told = 16;

} // namespace

char const* to_string(fence_standing standing) {
    switch (standing) {
    case fence_standing::acknowledged:
        return "acknowledged";
    case fence_standing::announced:
        return "announced";
    default:
        return "none";
    }
}

void fence_call::begin(
    std::string const& group, std::string const& primary, instant now) {
    auto const found = this->fences.find(group);
    if (found != this->fences.end() && found->second.primary == primary) {
        return;
    }
    fence made;
    made.primary = primary;
    made.began = now;
    made.first_number = this->number + 1;
    this->fences[group] = std::move(made);
    this->changed = true;
    this->must_write = this->must_write || this->stored_any;
}

void fence_call::end(std::string_view group) {
    auto const found = this->fences.find(group);
    if (found != this->fences.end()) {
        this->fences.erase(found);
        this->changed = true;
        this->must_write = this->must_write || this->stored_any;
    }
}

bool fence_call::is_called(std::string_view group) const {
    return this->fences.find(group) != this->fences.end();
}

bool fence_call::names(std::string_view group, std::string_view primary) const {
    auto const found = this->fences.find(group);
    return found != this->fences.end() && found->second.primary == primary;
}

fence_notice fence_call::notice() const {
    fence_notice out{this->number, {}};
    for (auto const& [group, each] : this->fences) {
        out.fenced.push_back({group, each.primary});
    }
    return out;
}

std::optional<fence_notice> fence_call::due(instant now) {
    bool const is_old =
        this->told.empty() || now - this->told.rbegin()->second >= renewal_interval;
    if (!this->changed && (this->fences.empty() || !is_old)) {
        return std::nullopt;
    }
    this->changed = false;
    ++this->number;
    this->told[this->number] = now;
    if (this->told.size() > most_told) {
        this->told.erase(this->told.begin());
    }
    return this->notice();
}

std::optional<fence_notice> fence_call::current() const {
    if (this->fences.empty()) {
        return std::nullopt;
    }
    return this->notice();
}

void fence_call::answered(std::string const& host, std::uint64_t answered_number) {
    auto const found = this->told.find(answered_number);
    told_notice& last = this->answers[host];
    if (found != this->told.end() && answered_number > last.number) {
        last = {answered_number, found->second};
    }
}

bool fence_call::is_acknowledged(
    fence const& one, fence_partner const& partner, instant now) const {
    auto const found = this->answers.find(partner.name);
    return found != this->answers.end() && found->second.number >= one.first_number &&
           now - found->second.at <= answer_age;
}

bool fence_call::is_acknowledged_by_all(
    fence const& one, std::span<fence_partner const> partners, instant now) const {
    return std::all_of(partners.begin(), partners.end(), [&](auto const& each) {
        return this->is_acknowledged(one, each, now);
    });
}

bool fence_call::needs_store(std::span<fence_partner const> partners, instant now) const {
    return std::any_of(this->fences.begin(), this->fences.end(), [&](auto const& each) {
        bool const may_answer = now - each.second.began < answer_patience;
        return std::any_of(partners.begin(), partners.end(), [&](auto const& partner) {
            return !(may_answer && partner.linked) &&
                   !this->is_acknowledged(each.second, partner, now);
        });
    });
}

std::optional<fence_notice>
fence_call::write_due(std::span<fence_partner const> partners, instant now) {
    // What changed is told over the links first, and has its number then.
    if (this->writing_since || this->changed) {
        return std::nullopt;
    }
    bool const needed = this->needs_store(partners, now);
    bool const has_new =
        std::any_of(this->fences.begin(), this->fences.end(), [](auto const& each) {
            return !each.second.stored_since;
        });
    bool const at_once = this->must_write || (needed && has_new);
    duration const regular = at_once ? duration(0) : write_interval;
    duration const pause = this->write_failed ? write_retry : regular;
    bool const is_too_soon = this->tried_at && now - *this->tried_at < pause;
    if ((!needed && !this->must_write) || is_too_soon) {
        return std::nullopt;
    }
    fence_notice out = this->notice();
    this->must_write = false;
    this->writing_since = now;
    this->tried_at = now;
    this->writing_number = out.number;
    this->writing_size = out.fenced.size();
    this->stored_any = true;
    return out;
}

void fence_call::written(std::optional<std::uint64_t> seen_era, instant now) {
    instant const began = this->writing_since.value_or(now);
    this->writing_since.reset();
    this->write_failed = !seen_era;
    if (!seen_era) {
        // It may name fences that are over by now.
        this->must_write = true;
        return;
    }
    bool const is_restored = std::exchange(this->era, *seen_era) != *seen_era;
    this->stored_any = this->writing_size > 0 || this->must_write;
    for (auto& each : this->fences) {
        fence& one = each.second;
        if (one.first_number > this->writing_number) {
            continue;
        }
        if (is_restored || !one.stored_since) {
            one.stored_since = now;
        }
        one.stored_lately = began;
    }
}

fence_standing fence_call::judge(
    std::string_view group, std::span<fence_partner const> partners, instant now) {
    auto const found = this->fences.find(group);
    if (found == this->fences.end()) {
        return fence_standing::none;
    }
    fence& one = found->second;
    fence_standing standing = fence_standing::none;
    bool const is_told = one.first_number <= this->number;
    bool const is_stored = one.stored_since &&
                           now - *one.stored_since >= fence_settling &&
                           now - *one.stored_lately <= written_age;
    if (is_told && this->is_acknowledged_by_all(one, partners, now)) {
        standing = fence_standing::acknowledged;
    } else if (is_stored) {
        standing = fence_standing::announced;
    }
    if (standing == fence_standing::none) {
        one.stood_since.reset();
    } else if (!one.stood_since) {
        one.stood_since = now;
    }
    return standing;
}

std::optional<instant> fence_call::stands_since(std::string_view group) const {
    auto const found = this->fences.find(group);
    return found == this->fences.end() ? std::nullopt : found->second.stood_since;
}

} // namespace persimmonpoint
