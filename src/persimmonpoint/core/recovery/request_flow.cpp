#include <algorithm>
#include <persimmonpoint/core/recovery/request_flow.hpp>
#include <utility>

namespace persimmonpoint {

namespace {

// SQLSTATE codes, PostgreSQL appendix A.
constexpr char const* connection_failure = "08006";
constexpr char const* cannot_connect = "08001";

flow_action step(flow_step what) {
    flow_action action;
    action.step = what;
    return action;
}

flow_action fail(error failure) {
    flow_action action = step(flow_step::fail);
    action.failure = std::move(failure);
    return action;
}

} // namespace

request_flow::request_flow(
    request_facts facts, retry_budget& budget, random_source& random)
    : request(std::move(facts)), budget(budget), random(random) {
    this->budget.deposit();
}

flow_action request_flow::start(context const& ctx) {
    if (this->request.kind == flow_request_kind::statement_in_transaction ||
        this->request.kind == flow_request_kind::commit) {
        return this->acquired(ctx); // The transaction holds its connection already.
    }
    bool const requires_floor = this->request.kind == flow_request_kind::read ||
                                this->request.kind == flow_request_kind::begin;
    // `max_staleness` doesn't replace the session's position: a session without one may
    // have just written through another connection.
    if (requires_floor && (!this->request.floor || !this->needed_floor(ctx))) {
        return step(flow_step::establish_floor);
    }
    return this->route(ctx);
}

flow_action request_flow::floor_established(log_position position, context const& ctx) {
    this->request.floor = position;
    this->request.max_staleness.reset(); // The position was read after the request
                                         // arrived, so it satisfies any staleness bound.
    return this->route(ctx);
}

flow_action request_flow::floor_failed(context const& ctx) {
    return this->wait_or_fail(
        error{
            cannot_connect,
            "no confirmed primary in group \"" + this->request.group + "\""},
        ctx);
}

flow_action request_flow::acquired(context const& ctx) {
    if (this->pending == pending_work::look_up) {
        flow_action action = step(flow_step::look_up);
        action.database = *this->target;
        return action;
    }
    flow_action action = step(flow_step::execute);
    action.database = this->target.value_or(0);
    bool const checks_floor = this->request.kind == flow_request_kind::read ||
                              this->request.kind == flow_request_kind::begin;
    if (checks_floor) {
        this->floor_used = this->needed_floor(ctx);
        action.floor = this->floor_used;
        if (!action.floor) {
            return this->start(ctx); // The observations expired during the wait.
        }
    }
    return action;
}

flow_action request_flow::acquire_failed(std::string const& reason, context const& ctx) {
    this->exclude_target(ctx);
    if (this->request.kind == flow_request_kind::read &&
        this->pending == pending_work::statement) {
        return this->retry_elsewhere(reason, ctx);
    }
    return this->wait_or_fail(error{cannot_connect, reason}, ctx);
}

flow_action request_flow::below_floor(context const& ctx) {
    this->exclude_target(ctx);
    return this->retry_elsewhere("no database has reached the session's position", ctx);
}

flow_action request_flow::not_primary(context const& ctx) {
    return this->wait_or_fail(
        error{
            "25006",
            "group \"" + this->request.group + "\" has no primary at the moment"},
        ctx);
}

flow_action request_flow::executed(log_position position, context const& ctx) {
    (void)ctx;
    this->maybe_executed = true;
    this->executed_position = position;
    bool const needs_proof = this->request.kind == flow_request_kind::write ||
                             this->request.kind == flow_request_kind::commit;
    flow_action action =
        step(needs_proof ? flow_step::confirm_durable : flow_step::succeed);
    action.position = position;
    return action;
}

flow_action request_flow::too_stale(context const& ctx) {
    this->exclude_target(ctx);
    return this->retry_elsewhere("the data was older than accepted", ctx);
}

flow_action request_flow::proved(context const& ctx) {
    (void)ctx;
    flow_action action =
        step(this->stored_answer ? flow_step::succeed_stored : flow_step::succeed);
    action.position = this->executed_position;
    return action;
}

flow_action request_flow::proof_failed(context const& ctx) {
    if (this->request.has_request_id) {
        return this->resolve_outcome(ctx);
    }
    return this->fail_unknown(
        "the primary was superseded before the write was proven safe");
}

flow_action request_flow::lost(bool forwarded, context const& ctx) {
    switch (this->request.kind) {
    case flow_request_kind::read:
        this->exclude_target(ctx);
        if (forwarded || !this->request.repeatable) {
            return this->fail_unknown("the connection to the database was lost");
        }
        if (!this->budget.try_withdraw()) {
            return this->fail_unknown(
                "the connection was lost and the retry budget is spent");
        }
        return this->retry_elsewhere("the connection to the database was lost", ctx);
    case flow_request_kind::begin:
        return this->wait_or_fail(
            error{connection_failure, "the connection to the database was lost"}, ctx);
    case flow_request_kind::statement_in_transaction:
        // COMMIT was never sent, so the database rolls the transaction back.
        return fail(error{
            connection_failure,
            "the transaction was lost with its connection; it is rolled back"});
    case flow_request_kind::write:
    case flow_request_kind::commit:
        break;
    }
    if (this->pending == pending_work::statement) {
        this->maybe_executed = true;
    }
    if (this->request.has_request_id) {
        return this->resolve_outcome(ctx);
    }
    return this->fail_unknown("the connection was lost before the answer came");
}

flow_action request_flow::ledger_found(log_position position, context const& ctx) {
    this->stored_answer = true;
    return this->executed(position, ctx);
}

flow_action request_flow::ledger_absent(context const& ctx) {
    // The statements of a transaction can't be resent from here, and a delayed COMMIT may
    // still take effect.
    if (!this->request.repeatable || this->request.kind == flow_request_kind::commit) {
        return this->fail_unknown("the request is not in the ledger");
    }
    this->pending = pending_work::statement;
    if (!this->budget.try_withdraw()) {
        return this->fail_unknown(
            "the request is not in the ledger; the retry budget is spent");
    }
    return this->route(ctx);
}

flow_action request_flow::timer(context const& ctx) {
    std::ranges::fill(this->excluded, 0);
    return this->pending == pending_work::look_up ? this->route_primary(ctx)
                                                  : this->start(ctx);
}

flow_action request_flow::route(context const& ctx) {
    return this->request.kind == flow_request_kind::read ? this->route_read(ctx)
                                                         : this->route_primary(ctx);
}

flow_action request_flow::route_read(context const& ctx) {
    auto const floor = this->needed_floor(ctx);
    if (!floor) {
        return this->floor_failed(ctx);
    }
    read_request query;
    query.floor = *floor;
    query.availability_zone = this->request.availability_zone;
    query.excluded = this->excluded;
    query.tie_breaker = this->random.unit();
    this->target = choose_for_read(ctx.view, ctx.loads, query);
    if (!this->target) {
        return this->wait_or_fail(
            error{
                cannot_connect, "no database of group \"" + this->request.group +
                                    "\" can serve the read"},
            ctx);
    }
    flow_action action = step(flow_step::acquire);
    action.database = *this->target;
    return action;
}

flow_action request_flow::route_primary(context const& ctx) {
    if (!ctx.view.primary) {
        return this->not_primary(ctx);
    }
    this->target = ctx.view.primary;
    flow_action action = step(flow_step::acquire);
    action.database = *this->target;
    return action;
}

flow_action request_flow::wait_or_fail(error failure, context const& ctx) {
    duration const delay = std::max<duration>(
        backoff(this->attempts++, this->random), std::chrono::milliseconds(1));
    if (ctx.now + delay >= this->request.deadline) {
        failure.known_effect = this->maybe_executed ? effect::unknown : effect::not_run;
        return fail(std::move(failure));
    }
    flow_action action = step(flow_step::wait);
    action.delay = delay;
    return action;
}

flow_action request_flow::retry_elsewhere(std::string const& reason, context const& ctx) {
    if (ctx.now >= this->request.deadline) {
        return this->wait_or_fail(error{cannot_connect, reason}, ctx);
    }
    return this->request.kind == flow_request_kind::read
               ? this->route_read(ctx)
               : this->wait_or_fail(error{cannot_connect, reason}, ctx);
}

flow_action request_flow::resolve_outcome(context const& ctx) {
    this->pending = pending_work::look_up;
    if (ctx.now >= this->request.deadline) {
        return this->fail_unknown("the deadline passed before the outcome was settled");
    }
    return this->wait_or_fail(
        error{connection_failure, "the outcome could not be settled in time"}, ctx);
}

flow_action request_flow::fail_unknown(std::string const& reason) const {
    return fail(error{connection_failure, reason, effect::unknown});
}

std::optional<log_position> request_flow::needed_floor(context const& ctx) const {
    if (!this->request.max_staleness) {
        return this->request.floor;
    }
    auto const fresh = ctx.view.staleness_floor(*this->request.max_staleness, ctx.now);
    if (!fresh) {
        return std::nullopt;
    }
    log_position needed = fresh->position;
    if (this->request.floor) {
        needed.term = std::max(needed.term, this->request.floor->term);
        needed.offset = std::max(needed.offset, this->request.floor->offset);
    }
    return needed;
}

void request_flow::exclude_target(context const& ctx) {
    this->excluded.resize(ctx.view.databases.size(), 0);
    if (this->target) {
        this->excluded[*this->target] = 1;
    }
}

} // namespace persimmonpoint
