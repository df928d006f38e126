#ifndef PERSIMMONPOINT_CORE_ROUTING_LOG_POSITION_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_LOG_POSITION_HPP_INCLUDED

/// Position in the replicated log of a database group.

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmonpoint {

/// Term and offset in the log; positions of one group are ordered by term, then by
/// offset. A database whose log reaches a position has every acknowledged write up to it.
struct log_position {
    std::uint64_t term = 0;
    std::uint64_t offset = 0;

    friend auto operator<=>(log_position const&, log_position const&) = default;
};

/// True if a log that ends at `reached` contains every acknowledged write up to `floor`.
/// A former primary may have a higher offset in a lower term, which does not qualify.
inline bool covers(log_position reached, log_position floor) {
    return reached.term >= floor.term && reached.offset >= floor.offset;
}

/// As written to logs: "7.3337", or "none".
inline std::string to_string(std::optional<log_position> const& position) {
    return position
               ? std::to_string(position->term) + "." + std::to_string(position->offset)
               : "none";
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_LOG_POSITION_HPP_INCLUDED
