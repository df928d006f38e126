#ifndef PERSIMMONPOINT_INTERFACES_CONTROL_LINK_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_CONTROL_LINK_HPP_INCLUDED

#include <functional>
#include <optional>
#include <persimmonpoint/core/routing/log_position.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string_view>

namespace persimmonpoint {

/// What traffic asks of control. Handlers run on the event loop of the asking thread.
class control_link {
public:
    using proof_handler = std::function<void(bool proven)>;
    /// Nothing if no confirmed primary was found by the deadline.
    using position_handler = std::function<void(std::optional<log_position>)>;

    /// Nothing if the database could not be asked.
    using probe_handler = std::function<void(std::optional<bool> active)>;

    virtual ~control_link() = default;
    /// Is a write that ends at the position safe from any failover?
    virtual void confirm_durable(
        std::string_view group,
        log_position position,
        instant deadline,
        proof_handler handler) = 0;
    /// Where is the primary's log, at a moment after this call?
    virtual void confirm_position(
        std::string_view group, instant deadline, position_handler handler) = 0;
    /// Does the database still work on what this backend was sent? Asked on a connection
    /// that is known to answer.
    virtual void probe(
        std::string_view group,
        std::size_t database,
        int backend_pid,
        probe_handler handler) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_CONTROL_LINK_HPP_INCLUDED
