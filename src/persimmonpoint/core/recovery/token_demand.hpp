#ifndef PERSIMMONPOINT_CORE_RECOVERY_TOKEN_DEMAND_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_TOKEN_DEMAND_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <persimmonpoint/core/recovery/lease_policy.hpp>

namespace persimmonpoint {

/// Which fencing token one group's next change of leadership needs.
///
/// A promotion that was not answered may be carried out long after its change is over, as
/// long as no newer token has been used. A later change that calls for another database
/// under the same token would not outdate it, so it has to have a newer one.
class token_demand {
public:
    void change_began() { this->renews = this->unanswered.has_value(); }
    /// A promotion under `token` was answered, or timed out, during its change or later.
    void promotion_answered(std::uint64_t token, promotion_result result);
    void granted(std::uint64_t token);
    /// What to ask for now. A rejection counts once.
    token_freshness next();
    /// What to ask for between changes, for the next one.
    token_freshness prepared() const;

private:
    std::optional<std::uint64_t> unanswered; ///< Newest token of such a promotion.
    bool renews = false;      ///< The present change needs a newer one than `unanswered`.
    std::uint64_t newest = 0; ///< Of those granted.
    bool rejected = false;    ///< `newest` was outdated when it was used.
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_TOKEN_DEMAND_HPP_INCLUDED
