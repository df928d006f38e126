#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string_view>

namespace persimmonpoint {

/// While its holder is alive, a lease can't be taken over by another host for this long.
inline constexpr std::uint64_t lease_hold_ms = 3000;

/// How recent a requested fencing token has to be.
enum class token_need {
    any,     ///< The cached token will do; one is acquired if none is cached.
    renewed, ///< A new token, or the cached one if the store is unreachable.
    newest   ///< A new token only: the cached one was rejected.
};

/// True if `host` may acquire the lease now. `holder_lives` is this host's own view of
/// whether the current holder is alive.
inline bool
may_take_lease(leadership_lease const& lease, std::string_view host, bool holder_lives) {
    if (lease.revision == 0 || lease.holder == host || !holder_lives) {
        return true;
    }
    return lease.store_now_ms >= lease.taken_at_ms + lease_hold_ms;
}

/// The lease that `host` writes to replace `lease`. Each acquisition increments the
/// fencing token.
inline leadership_lease next_lease(leadership_lease const& lease, std::string_view host) {
    return leadership_lease{
        std::string(host), lease.token + 1, lease.store_now_ms, lease.revision,
        lease.store_now_ms};
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEASE_RULE_HPP_INCLUDED
