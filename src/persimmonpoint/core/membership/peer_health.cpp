#include <algorithm>
#include <persimmonpoint/core/membership/peer_health.hpp>

namespace persimmonpoint {

namespace {

constexpr duration reconnect_pause = std::chrono::milliseconds(200);

} // namespace

void peer_health::connecting(instant now) {
    this->reconnecting = true;
    if (this->current == state::untried) {
        this->current = state::connecting;
    }
    this->since = now;
}

void peer_health::heard(instant now) {
    this->current = state::connected;
    this->is_ended = false;
    this->lost_since.reset();
    this->reconnecting = false;
    this->since = now;
}

void peer_health::receiving(instant now) {
    if (this->current == state::connected) {
        this->since = now;
    }
}

void peer_health::lost(instant now) {
    this->current = state::lost;
    this->reconnecting = false;
    this->leaves = false;
    // It may have been started again since its address was last refused.
    this->is_ended = false;
    this->awaited_since.reset();
    this->since = now;
    if (!this->lost_since) {
        this->lost_since = now;
    }
}

duration peer_health::lost_for(instant now) const {
    return this->lost_since ? now - *this->lost_since : duration(0);
}

void peer_health::asked(instant now) {
    if (!this->awaited_since) {
        this->awaited_since = now;
    }
}

bool peer_health::overdue(fleet_pace const& pace, instant now) const {
    if (this->reconnecting) {
        return now - this->since > pace.connect_limit;
    }
    if (this->current != state::connected) {
        return false;
    }
    if (now - this->since > pace.idle_silence) {
        return true;
    }
    // It may have been silent before, with nothing to say.
    return this->awaited_since &&
           now - std::max(this->since, *this->awaited_since) > pace.awaited_silence;
}

bool peer_health::may_connect(instant now) const {
    if (this->reconnecting || this->current == state::connected) {
        return false;
    }
    return this->current == state::untried || now - this->since > reconnect_pause;
}

} // namespace persimmonpoint
