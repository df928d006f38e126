#ifndef PERSIMMONPOINT_CORE_RECOVERY_LEASE_POLICY_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_LEASE_POLICY_HPP_INCLUDED

#include <algorithm>
#include <cstdint>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string_view>

namespace persimmonpoint {

/// While its holder is alive, a lease can't be taken over by another host for this long.
inline constexpr std::uint64_t lease_duration_ms = 3000;

/// Acquisitions of one group's lease in one era stay below two to this power.
inline constexpr unsigned tokens_per_era_bits = 20;

/// How recent a requested fencing token has to be.
enum class token_freshness {
    any,        ///< The cached token will do; one is acquired if none is cached.
    prefer_new, ///< A new token, or the cached one if the store is unreachable.
    require_new ///< A new token only: the cached one was rejected.
};

/// True if `host` may acquire the lease now. `holder_lives` is this host's own view of
/// whether the current holder is alive.
inline bool may_acquire_lease(
    leadership_lease const& lease, std::string_view host, bool holder_lives) {
    if (lease.token == 0 || lease.holder == host || !holder_lives) {
        return true;
    }
    bool const clock_went_back = lease.store_now_ms < lease.taken_at_ms;
    if (clock_went_back) {
        return true;
    }
    return lease.store_now_ms >= lease.taken_at_ms + lease_duration_ms;
}

/// The smallest token of an era of the store. An older copy of the store may lack tokens
/// that were used, so that those of a new era begin above all of the eras before.
inline std::uint64_t first_token(std::uint64_t era) {
    return era << tokens_per_era_bits;
}

/// The lease that `host` writes to replace `lease`. Each acquisition increments the
/// fencing token.
inline leadership_lease next_lease(leadership_lease const& lease, std::string_view host) {
    return leadership_lease{
        std::string(host),  std::max(lease.token + 1, first_token(lease.era)),
        lease.store_now_ms, lease.revision,
        lease.store_now_ms, lease.era};
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_LEASE_POLICY_HPP_INCLUDED
