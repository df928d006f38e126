#include <algorithm>
#include <persimmonpoint/engine/order_commands.hpp>

namespace persimmonpoint::engine {

namespace {

upstream_command control_command(upstream_request const& order) {
    upstream_command command;
    command.term = order.term;
    switch (order.kind) {
    case upstream_request_kind::leader_check:
        command.action = upstream_action::begin;
        break;
    case upstream_request_kind::report_state:
        command.action = upstream_action::report_state;
        break;
    case upstream_request_kind::hold:
        command.action = upstream_action::hold;
        break;
    case upstream_request_kind::stop_primary:
        command.action = upstream_action::stop_primary;
        break;
    default:
        command.action = upstream_action::resume;
    }
    return command;
}

upstream_command setup_command(
    upstream_request const& order, setup_step const& setup, prepared_name name) {
    upstream_command command;
    switch (setup.kind) {
    case setup_kind::reset:
        command.action = upstream_action::reset;
        break;
    case setup_kind::set:
        command.action = upstream_action::set;
        command.name = setup.name;
        command.text = setup.value;
        break;
    default:
        command.action = upstream_action::prepare;
        command.prepared = *order.prepared;
        command.statement = name;
    }
    return command;
}

/// Name of the order's prepared shape on the connection, once that is set up.
prepared_name
name_for(upstream_request const& order, pooled_connection const& lane, bool prepares) {
    if (!order.prepared) {
        return {};
    }
    return prepares ? lane.prepared.next() : *lane.prepared.find(*order.prepared);
}

} // namespace

std::vector<order_step>
plan_order(upstream_request const& order, pooled_connection const& lane) {
    std::vector<order_step> steps;
    if (is_control(order.kind)) {
        steps.push_back({control_command(order), true});
        return steps;
    }
    if (order.kind == upstream_request_kind::rollback) {
        upstream_command rollback;
        rollback.action = upstream_action::rollback;
        rollback.id = order.id;
        steps.push_back({rollback, true});
        return steps;
    }
    std::vector<setup_step> const setup = plan_setup(order, lane);
    bool const prepares =
        std::any_of(setup.begin(), setup.end(), [](setup_step const& each) {
            return each.kind == setup_kind::prepare;
        });
    prepared_name const name = name_for(order, lane, prepares);
    for (setup_step const& each : setup) {
        steps.push_back({setup_command(order, each, name), false});
    }
    bool const opens =
        order.kind == upstream_request_kind::leader_read ||
        order.kind == upstream_request_kind::open_transaction ||
        (order.kind == upstream_request_kind::commit && !order.transaction.is_set());
    if (opens) {
        upstream_command begin;
        begin.action = order.read_only_transaction ? upstream_action::begin_read
                                                   : upstream_action::begin;
        begin.floor = order.floor;
        steps.push_back({begin, false});
    }
    upstream_command main;
    main.action =
        order.prepared ? upstream_action::execute_prepared : upstream_action::forward;
    main.id = order.id;
    main.text = order.text;
    main.prepared = order.prepared.value_or(prepared_shape{});
    main.statement = name;
    if (order.kind == upstream_request_kind::single && !order.writes) {
        main.floor = order.floor;
    }
    steps.push_back({main, true});
    return steps;
}

bool is_control(upstream_request_kind kind) {
    return kind == upstream_request_kind::leader_check ||
           kind == upstream_request_kind::report_state ||
           kind == upstream_request_kind::hold || kind == upstream_request_kind::resume ||
           kind == upstream_request_kind::stop_primary;
}

bool changes_log(upstream_request const& order) {
    bool const alone = order.kind == upstream_request_kind::single && order.writes;
    return alone || (order.kind == upstream_request_kind::commit && order.writes);
}

bool proves_lead(upstream_request const& order) {
    switch (order.kind) {
    case upstream_request_kind::leader_check:
    case upstream_request_kind::leader_read:
        return true;
    case upstream_request_kind::single:
    case upstream_request_kind::commit:
        return order.writes;
    case upstream_request_kind::open_transaction:
    case upstream_request_kind::in_transaction:
        return !order.read_only_transaction;
    default:
        return false;
    }
}

} // namespace persimmonpoint::engine
