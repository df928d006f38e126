#include <persimmonpoint/core/statement/field_rules.hpp>
#include <persimmonpoint/engine/order_commands.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <support/command_round_trip.hpp>

namespace persimmonpoint::tests {

namespace {

/// As engine/database_owner does once the database has answered with success.
void note_setup(pooled_connection& view, upstream_command const& command) {
    switch (command.action) {
    case upstream_action::reset:
        view.values.clear();
        view.prepared.clear();
        break;
    case upstream_action::set:
        view.values[command.name] = command.text;
        break;
    case upstream_action::prepare:
        view.prepared.add_next(command.prepared);
        break;
    default:
        break;
    }
}

/// As platform/line_listener lets an id pass.
bool is_statement_id(std::string_view id) {
    return is_inner_field(id) && id != "-";
}

bool is_single_read(statement_decision const& decision) {
    return decision.step == statement_action::execute_single && !decision.writes;
}

upstream_request_kind kind_of(
    caller_statement const& from,
    statement const& what,
    statement_decision const& decision) {
    if (what.verb == statement_verb::commit) {
        return upstream_request_kind::commit;
    }
    switch (decision.step) {
    case statement_action::open:
        return upstream_request_kind::open_transaction;
    case statement_action::execute_in_transaction:
        return upstream_request_kind::in_transaction;
    case statement_action::rollback_in_transaction:
        return upstream_request_kind::rollback;
    default:
        return is_single_read(decision) && from.reads_at_leader
                   ? upstream_request_kind::leader_read
                   : upstream_request_kind::single;
    }
}

/// Only what may run at a replica says which position it must have.
bool takes_floor(upstream_request const& order, statement_decision const& decision) {
    bool const single =
        order.kind == upstream_request_kind::single && is_single_read(decision);
    return single || order.read_only_transaction;
}

bool runs_at_database(statement_decision const& decision) {
    return decision.step != statement_action::reply_success &&
           decision.step != statement_action::reply_error;
}

std::string describe(
    std::string_view what,
    executed_statement const& one,
    executed_statement const& other) {
    auto const text = [](executed_statement const& each) {
        std::string const shape =
            each.prepared
                ? (each.prepared->writes ? "WRITE " : "READ ") + each.prepared->shape
                : "none";
        return "id " + each.id + ", shape <" + shape + ">, text <" + each.text + ">, " +
               std::to_string(each.values.size()) + " values";
    };
    return std::string(what) + ": ran " + text(one) + "; sent " + text(other);
}

} // namespace

std::string command_round_trip::carry(caller_statement const& from) {
    if (!is_last_field(from.text) || !is_statement_id(from.id)) {
        return {};
    }
    auto const what = platform::parse_statement(from.id, from.text);
    if (!what) {
        return {};
    }
    caller& by = this->callers[from.session];
    statement_decision const decision = by.state.decide(*what);
    if (decision.step == statement_action::reply_error) {
        return {};
    }
    command_effect const alone =
        by.alone.take("QUERY " + from.id + " " + from.text + "\r\n");
    if (!alone.fault.empty()) {
        return "a database refuses what the session takes: " + alone.fault;
    }
    if (!runs_at_database(decision)) {
        return {};
    }
    return this->run(by, from, *what, decision, alone.executed);
}

std::string command_round_trip::run(
    caller& by,
    caller_statement const& from,
    statement const& what,
    statement_decision const& decision,
    std::optional<executed_statement> const& expected) {
    upstream_request order;
    order.kind = kind_of(from, what, decision);
    order.id = from.id;
    order.text = decision.text;
    order.prepared = decision.prepared;
    order.writes = decision.writes;
    order.read_only_transaction =
        decision.step == statement_action::open && by.state.read_only();
    order.floor = takes_floor(order, decision) ? from.floor : std::nullopt;
    order.values = by.state.values();
    order.transaction = by.state.transaction();
    std::size_t const lane = by.lane ? *by.lane : this->free_connection();
    connection& to = this->pool[lane];
    std::string const fault = this->send(to, order, expected);
    if (decision.step == statement_action::open &&
        order.kind == upstream_request_kind::open_transaction) {
        by.lane = lane;
        by.state.opened("i-1", transaction_id{{}, ++this->last_transaction});
        to.view.state = pooled_connection_state::in_transaction;
    } else if (
        order.kind == upstream_request_kind::commit ||
        order.kind == upstream_request_kind::rollback) {
        by.lane.reset();
        by.state.ended();
        to.view.state = pooled_connection_state::idle;
    }
    bool const must_end =
        fault.empty() && order.kind == upstream_request_kind::leader_read;
    return must_end ? this->roll_back(to) : fault;
}

std::string command_round_trip::send(
    connection& to,
    upstream_request const& order,
    std::optional<executed_statement> const& expected) {
    std::optional<executed_statement> ran;
    std::size_t floors = 0;
    for (engine::order_step const& step : engine::plan_order(order, to.view)) {
        command_effect const effect =
            to.database.take(platform::format_command(step.command));
        if (!effect.fault.empty()) {
            return effect.fault;
        }
        if (effect.executed.has_value() && !step.is_main) {
            return "a command of the system's own ran as a statement";
        }
        if (effect.floor && effect.floor != order.floor) {
            return "a floor that nobody asked for";
        }
        floors += effect.floor ? 1 : 0;
        ran = effect.executed;
        note_setup(to.view, step.command);
    }
    if (!expected) {
        return ran ? "ran what nobody sent" : "";
    }
    ++this->executed_count;
    if (floors != (order.floor ? 1U : 0U)) {
        return "the floor is missing or stands twice";
    }
    if (!ran) {
        return "nothing ran";
    }
    executed_statement as_alone = *ran;
    if (order.kind == upstream_request_kind::leader_read) {
        as_alone.in_transaction = false;
    }
    return as_alone == *expected ? "" : describe("changed", *ran, *expected);
}

std::string command_round_trip::roll_back(connection& to) {
    upstream_command command;
    command.action = upstream_action::rollback;
    return to.database.take(platform::format_command(command)).fault;
}

std::size_t command_round_trip::free_connection() {
    for (std::size_t i = 0; i < this->pool.size(); ++i) {
        if (this->pool[i].view.state == pooled_connection_state::idle) {
            return i;
        }
    }
    this->pool.emplace_back();
    this->pool.back().view.state = pooled_connection_state::idle;
    return this->pool.size() - 1;
}

} // namespace persimmonpoint::tests
