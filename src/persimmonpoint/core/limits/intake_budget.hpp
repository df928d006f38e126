#ifndef PERSIMMONPOINT_CORE_LIMITS_INTAKE_BUDGET_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_LIMITS_INTAKE_BUDGET_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace persimmonpoint {

/// Bytes that the connections of a host's callers may hold together beyond the first few
/// of each: a small part of the 160 MB of the smallest host, and several times what a
/// caller with a message of the full size needs.
inline constexpr std::size_t max_host_intake_bytes = 32 * 1024 * 1024;

/// Bytes of each connection that don't count: an ordinary message and its answer.
inline constexpr std::size_t uncounted_caller_bytes = 4 * 1024;

/// What callers make a host hold: messages that have arrived in part, messages that are
/// carried out, and answers that they have not read yet.
///
/// Load it answers: crowds that send large messages in pieces and stop, or send ahead
/// without reading the answers. Each of them is within the limits of a message; together
/// they would use up the host's memory. Connections that hold the most are given up
/// first, but none that has a request under way while there is another.
class intake_budget {
public:
    using holder = std::uint64_t;

    explicit intake_budget(std::size_t most = max_host_intake_bytes) : most(most) {}

    holder join();
    void leave(holder id);
    /// Sets what a connection holds. Returns the connections to close so that all of them
    /// stay within the budget; they count as closed from now on.
    /// @param has_request A request of it is under way.
    std::vector<holder> hold(holder id, std::size_t bytes, bool has_request);
    /// True if so many bytes more fit.
    bool has_room(std::size_t bytes) const { return bytes <= this->most - this->used(); }
    std::size_t used() const { return this->taken; }

private:
    struct share {
        std::size_t bytes = 0; ///< Those that count.
        bool has_request = false;
    };

    /// The connection to close next.
    std::map<holder, share>::iterator heaviest();

    std::size_t most;
    std::size_t taken = 0;
    holder last_holder = 0;
    std::map<holder, share> shares;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_LIMITS_INTAKE_BUDGET_HPP_INCLUDED
