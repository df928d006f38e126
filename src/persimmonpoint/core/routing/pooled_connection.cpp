#include <persimmonpoint/core/routing/pooled_connection.hpp>

namespace persimmonpoint {

void pooled_connection::rest(instant now) {
    this->state = pooled_connection_state::idle;
    this->last_used = now;
    this->deadline.reset();
}

void pooled_connection::enter(pooled_connection_state next, instant until) {
    this->state = next;
    this->deadline = until;
}

bool pooled_connection::is_overdue(instant now) const {
    return this->deadline && *this->deadline <= now;
}

} // namespace persimmonpoint
