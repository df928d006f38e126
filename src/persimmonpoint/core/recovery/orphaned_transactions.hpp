#ifndef PERSIMMONPOINT_CORE_RECOVERY_ORPHANED_TRANSACTIONS_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_ORPHANED_TRANSACTIONS_HPP_INCLUDED

#include <persimmonpoint/core/time.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

/// A connection as reported by the database.
struct listed_connection {
    std::string pid;
    std::string tag; ///< Application name set by the host that opened it.
    bool idle_in_transaction = false;
    duration idle{0};
};

/// Prefix of the tag on every connection that a host opens.
inline constexpr std::string_view connection_tag_prefix = "persimmonpoint/";

/// Returns the process ids of connections with a transaction that a failed host left
/// open. A live host ends the idle transactions of its clients well before
/// `orphan_idle_timeout`, so a transaction that has been idle for longer has no live
/// owner. Connections with `own_tag` are never returned.
std::vector<std::string> find_orphaned_transactions(
    std::span<listed_connection const> connections,
    std::string_view own_tag,
    duration orphan_idle_timeout);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_ORPHANED_TRANSACTIONS_HPP_INCLUDED
