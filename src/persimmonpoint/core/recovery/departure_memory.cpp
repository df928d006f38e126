#include <persimmonpoint/core/recovery/departure_memory.hpp>

namespace persimmonpoint {

namespace {

/// How long after a host's start a departure that it can't know of is taken for possible.
/// A primary that is cut from its replicas is not replaced meanwhile.
constexpr duration unknown_departure_time = std::chrono::seconds(30);

} // namespace

bool departure_memory::commit_acknowledged(instant sent_at) {
    if (sent_at < this->left_at.value_or(this->known_since)) {
        return false;
    }
    bool const settles = this->left_at || !this->commit_seen;
    this->left_at.reset();
    this->commit_seen = true;
    return settles;
}

departure departure_memory::judge(instant now) const {
    if (this->left_at) {
        return departure::seen;
    }
    bool const is_new = now - this->known_since < unknown_departure_time;
    return is_new && !this->commit_seen ? departure::possible : departure::none;
}

} // namespace persimmonpoint
