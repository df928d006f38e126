#ifndef PERSIMMONPOINT_CORE_RECOVERY_REQUEST_FLOW_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_RECOVERY_REQUEST_FLOW_HPP_INCLUDED

#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/recovery/retry_budget.hpp>
#include <persimmonpoint/core/routing/group_view.hpp>
#include <persimmonpoint/core/routing/read_router.hpp>
#include <span>
#include <string>
#include <vector>

namespace persimmonpoint {

/// Kind of a request, which decides where it runs and how it is retried.
enum class flow_request_kind {
    read,  ///< Outside a transaction; on any database whose log has reached the floor.
    write, ///< Outside a transaction; on the primary.
    begin, ///< Opens a transaction on the primary.
    statement_in_transaction, ///< A statement in an open transaction, on the
                              ///< transaction's connection.
    commit                    ///< Commits an open transaction that may have written.
};

/// Attributes of one request that routing and retries depend on.
struct request_facts {
    flow_request_kind kind = flow_request_kind::read;
    bool repeatable = true;
    bool has_request_id = false;
    std::optional<log_position> floor;     ///< Newest position the session has seen.
    std::optional<duration> max_staleness; ///< Maximum age of the data a read may return.
    instant deadline;
    std::string group;
    std::string availability_zone; ///< The host's own zone.
};

/// What the caller of `request_flow` has to do next.
enum class flow_step {
    establish_floor, ///< Ask control for the confirmed primary's log position, read
                     ///< after this request arrived.
    acquire,         ///< Get a connection to `database`.
    execute, ///< Run the statement; if `floor` is set, check it on the same connection.
    confirm_durable, ///< Ask control whether a write up to `position` survives any
                     ///< failover.
    look_up,         ///< Look up the request id in the ledger of the primary `database`.
    wait,            ///< Wait for `delay`, then call timer().
    succeed,         ///< Return the result; `position` becomes the session's floor.
    succeed_stored,  ///< Like `succeed`, with the result stored in the ledger.
    fail             ///< Return `failure` to the caller.
};

/// A step and its parameters.
struct flow_action {
    flow_step step = flow_step::fail;
    std::size_t database = 0;
    std::optional<log_position> floor;
    log_position position;
    duration delay{0};
    error failure = {};
};

/// State machine of one request. Decides where the request runs, whether it may be
/// retried and which effect a failure reports. Each event returns the next action; the
/// class does no I/O itself.
class request_flow {
public:
    request_flow(request_facts facts, retry_budget& budget, random_source& random);

    /// Time, topology and load at the time of an event.
    struct context {
        instant now;
        group_view const& view;
        std::span<database_load const> loads;
    };

    flow_action start(context const& ctx);
    flow_action floor_established(log_position position, context const& ctx);
    flow_action floor_failed(context const& ctx);
    flow_action acquired(context const& ctx);
    /// No connection could be acquired; the statement was not sent.
    flow_action acquire_failed(std::string const& reason, context const& ctx);
    /// The database's log has not reached the floor; rows of the read were discarded.
    flow_action below_floor(context const& ctx);
    /// The database rejected the write because it is not a primary.
    flow_action not_primary(context const& ctx);
    /// The statement completed; `position` is the end of the log after it.
    flow_action executed(log_position position, context const& ctx);
    /// The result was older than `max_staleness` when it arrived.
    flow_action too_stale(context const& ctx);
    /// Control confirmed that the write survives any failover.
    flow_action proved(context const& ctx);
    /// A higher term was seen, or control did not confirm the write in time.
    flow_action proof_failed(context const& ctx);
    /// The connection broke. `forwarded`: rows were already sent to the caller.
    flow_action lost(bool forwarded, context const& ctx);
    /// The ledger holds the result of the request, so the request has run.
    flow_action ledger_found(log_position position, context const& ctx);
    /// The ledger has no entry for the request.
    flow_action ledger_absent(context const& ctx);
    /// The delay of a `wait` step has passed.
    flow_action timer(context const& ctx);

    request_facts const& facts() const { return this->request; }
    /// Index of the database that the request was last routed to.
    std::optional<std::size_t> database() const { return this->target; }

private:
    /// What the next acquired connection is used for.
    enum class pending_work { statement, look_up };

    flow_action route(context const& ctx);
    flow_action route_read(context const& ctx);
    flow_action route_primary(context const& ctx);
    flow_action wait_or_fail(error failure, context const& ctx);
    flow_action retry_elsewhere(std::string const& reason, context const& ctx);
    /// Finds out from the ledger whether the request ran.
    flow_action resolve_outcome(context const& ctx);
    flow_action fail_unknown(std::string const& reason) const;
    /// Log position that the data must include: the session's floor, raised to what
    /// `max_staleness` requires. Empty if the needed position is not known.
    std::optional<log_position> needed_floor(context const& ctx) const;
    void exclude_target(context const& ctx);

    request_facts request;
    retry_budget& budget;
    random_source& random;
    std::optional<std::size_t> target;
    std::optional<log_position> floor_used;
    std::vector<char> excluded; ///< By database index; reset by timer().
    pending_work pending = pending_work::statement;
    log_position executed_position;
    bool maybe_executed = false;
    bool stored_answer = false;
    unsigned attempts = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_RECOVERY_REQUEST_FLOW_HPP_INCLUDED
