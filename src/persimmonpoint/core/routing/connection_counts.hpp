#ifndef PERSIMMONPOINT_CORE_ROUTING_CONNECTION_COUNTS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_CONNECTION_COUNTS_HPP_INCLUDED

#include <cstddef>
#include <persimmonpoint/core/routing/pooled_connection.hpp>

namespace persimmonpoint {

/// Connections to databases, by their state.
struct connection_counts {
    std::size_t opening = 0;
    std::size_t idle = 0;
    std::size_t busy = 0;
    std::size_t ending = 0;
    std::size_t in_transaction = 0;

    void add(pooled_connection_state state);
    connection_counts& operator+=(connection_counts const& other);
    std::size_t all() const;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_CONNECTION_COUNTS_HPP_INCLUDED
