#ifndef PERSIMMONPOINT_CORE_LIMITS_MEMORY_BUDGET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_MEMORY_BUDGET_HPP_INCLUDED

#include <cstddef>
#include <memory>

namespace persimmonpoint {

/// Bytes that the sessions of a host may hold together, their own allowances not counted:
/// a small part of the 160 MB of the smallest host.
inline constexpr std::size_t max_host_session_bytes = 32 * 1024 * 1024;

/// Bytes that several holders share.
class memory_budget {
public:
    explicit memory_budget(std::size_t most = max_host_session_bytes) : most(most) {}

    /// False if so many bytes are not left; nothing is taken then.
    bool take(std::size_t bytes);
    void give_back(std::size_t bytes) { this->taken -= bytes; }

    std::size_t used() const { return this->taken; }

private:
    std::size_t most;
    std::size_t taken = 0;
};

/// Bounds of one holder, in bytes.
struct memory_limits {
    std::size_t allowance = 0; ///< Held without being taken from the budget.
    std::size_t most = 0;
};

enum class memory_answer {
    held,
    over_limit,   ///< The holder would have more than its limit.
    out_of_budget ///< Others hold what is missing; it may be had later, or elsewhere.
};

/// What one holder has of a budget. It gives everything back at its end.
class memory_share {
public:
    memory_share(std::shared_ptr<memory_budget> budget, memory_limits limits);
    ~memory_share();
    memory_share(memory_share const&) = delete;
    memory_share& operator=(memory_share const&) = delete;

    /// Changes how many bytes are held, unless the answer is a refusal. Fewer bytes than
    /// before are never refused.
    memory_answer resize(std::size_t bytes);

    std::size_t bytes() const { return this->held; }

private:
    std::size_t charge(std::size_t bytes) const;

    std::shared_ptr<memory_budget> budget;
    memory_limits limits;
    std::size_t held = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_MEMORY_BUDGET_HPP_INCLUDED
