#include <persimmonpoint/core/routing/connection_counts.hpp>

namespace persimmonpoint {

void connection_counts::add(pooled_connection_state state) {
    switch (state) {
    case pooled_connection_state::opening:
        ++this->opening;
        return;
    case pooled_connection_state::idle:
        ++this->idle;
        return;
    case pooled_connection_state::busy:
        ++this->busy;
        return;
    case pooled_connection_state::ending:
        ++this->ending;
        return;
    case pooled_connection_state::in_transaction:
        ++this->in_transaction;
        return;
    }
}

connection_counts& connection_counts::operator+=(connection_counts const& other) {
    this->opening += other.opening;
    this->idle += other.idle;
    this->busy += other.busy;
    this->ending += other.ending;
    this->in_transaction += other.in_transaction;
    return *this;
}

std::size_t connection_counts::all() const {
    return this->opening + this->idle + this->busy + this->ending + this->in_transaction;
}

} // namespace persimmonpoint
