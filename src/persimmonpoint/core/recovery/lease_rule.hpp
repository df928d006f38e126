#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string_view>

namespace persimmonpoint {

/// How long a holder that still lives keeps a group to itself.
inline constexpr std::uint64_t lease_hold_ms = 3000;

/// What a fencing token is for.
enum class token_need {
    any,     ///< To have one at hand.
    renewed, ///< To use it now: a new one, or the one at hand while the store is away.
    newest   ///< The one at hand was refused.
};

/// May `host` take the lease now? `holder_lives`: as far as this host can tell.
inline bool
may_take_lease(leadership_lease const& lease, std::string_view host, bool holder_lives) {
    if (lease.revision == 0 || lease.holder == host || !holder_lives) {
        return true;
    }
    return lease.store_now_ms >= lease.taken_at_ms + lease_hold_ms;
}

/// The lease that `host` writes in place of `lease`. The token grows with each taking.
inline leadership_lease next_lease(leadership_lease const& lease, std::string_view host) {
    return leadership_lease{
        std::string(host), lease.token + 1, lease.store_now_ms, lease.revision,
        lease.store_now_ms};
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED
