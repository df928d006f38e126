#include <algorithm>
#include <persimmonpoint/core/quoted_text.hpp>
#include <persimmonpoint/core/session/client_session_state.hpp>

namespace persimmonpoint {

namespace {

/// Limit on session values and prepared statements together, per session.
constexpr std::size_t max_session_names = 1000;

statement_decision success_decision() {
    return statement_decision{};
}

statement_decision error_decision(statement_error code, std::string text) {
    statement_decision decision;
    decision.step = statement_action::reply_error;
    decision.error = code;
    decision.error_text = std::move(text);
    return decision;
}

statement_decision too_large_decision() {
    return error_decision(
        statement_error::too_large, "no message to a database has room for it");
}

statement_decision not_prepared_decision(std::string_view name) {
    return error_decision(
        statement_error::unknown_statement,
        "nothing is prepared as " + quoted_start(name));
}

/// What is counted for a name and the text that it stands for.
std::size_t entry_bytes(std::string_view name, std::string_view text) {
    return session_entry_bytes + name.size() + text.size();
}

} // namespace

client_session_state::client_session_state(std::shared_ptr<memory_budget> memory)
    : memory(std::move(memory), {session_allowance_bytes, max_session_bytes}) {}

statement_decision client_session_state::decide(statement const& command) {
    bool const is_refused =
        command.fit == upstream_fit::never && this->current != transaction_state::failed;
    if (is_refused) {
        return too_large_decision();
    }
    switch (this->current) {
    case transaction_state::idle:
        return this->decide_idle(command);
    case transaction_state::open:
        return this->decide_open(command);
    default:
        return this->decide_failed(command);
    }
}

statement_decision client_session_state::decide_idle(statement const& command) {
    if (auto decision = this->decide_session_command(command)) {
        return *decision;
    }
    switch (command.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read:
        this->current = transaction_state::open;
        this->is_read_only = command.verb == statement_verb::begin_read;
        this->open_transaction = {};
        this->open_database.clear();
        return success_decision();
    case statement_verb::commit:
    case statement_verb::rollback:
        return error_decision(statement_error::malformed, "no transaction is open");
    default:
        return this->execute_decision(command, statement_action::execute_single);
    }
}

statement_decision client_session_state::decide_open(statement const& command) {
    if (auto decision = this->decide_session_command(command)) {
        return *decision;
    }
    bool const at_database = this->open_transaction.is_set();
    switch (command.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read:
        return error_decision(
            statement_error::malformed, "a transaction is open already");
    case statement_verb::commit:
        return this->execute_decision(
            command, at_database ? statement_action::commit_in_transaction
                                 : statement_action::open);
    case statement_verb::rollback: {
        statement_decision decision;
        decision.step = at_database ? statement_action::rollback_in_transaction
                                    : statement_action::reply_success;
        this->current = transaction_state::idle;
        return decision;
    }
    default:
        return this->execute_decision(
            command, at_database ? statement_action::execute_in_transaction
                                 : statement_action::open);
    }
}

statement_decision client_session_state::decide_failed(statement const& command) {
    switch (command.verb) {
    case statement_verb::rollback:
        this->ended();
        return success_decision();
    case statement_verb::commit:
        this->ended();
        return error_decision(
            statement_error::aborted, "the transaction failed and rolled back");
    default:
        return error_decision(
            statement_error::malformed, "the transaction failed; only its end is taken");
    }
}

std::optional<statement_decision>
client_session_state::decide_session_command(statement const& command) {
    switch (command.verb) {
    case statement_verb::set:
        return this->set_value(command);
    case statement_verb::prepare_read:
    case statement_verb::prepare_write:
        return this->prepare(command);
    case statement_verb::deallocate:
        return this->deallocate(command);
    case statement_verb::execute:
        if (this->prepared.count(command.name) == 0) {
            return not_prepared_decision(command.name);
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

statement_decision client_session_state::set_value(statement const& command) {
    auto const found = this->session.find(command.name);
    std::size_t const before =
        found == this->session.end() ? 0 : entry_bytes(found->first, found->second);
    auto const refusal =
        this->replace_entry(before, entry_bytes(command.name, command.argument));
    if (refusal) {
        return *refusal;
    }
    this->session.insert_or_assign(command.name, command.argument);
    return success_decision();
}

statement_decision client_session_state::prepare(statement const& command) {
    auto const found = this->prepared.find(command.name);
    std::size_t const before = found == this->prepared.end()
                                   ? 0
                                   : entry_bytes(found->first, found->second.shape);
    auto const refusal =
        this->replace_entry(before, entry_bytes(command.name, command.argument));
    if (refusal) {
        return *refusal;
    }
    this->prepared.insert_or_assign(
        command.name,
        prepared_shape{command.argument, command.verb == statement_verb::prepare_write});
    return success_decision();
}

statement_decision client_session_state::deallocate(statement const& command) {
    auto const found = this->prepared.find(command.name);
    if (found == this->prepared.end()) {
        return not_prepared_decision(command.name);
    }
    this->memory.resize(
        this->memory.bytes() - entry_bytes(found->first, found->second.shape));
    this->prepared.erase(found);
    return success_decision();
}

/// Counts an entry of `after` bytes in place of one of `before`, which is 0 for a new
/// name; a refusal if there is no room.
std::optional<statement_decision>
client_session_state::replace_entry(std::size_t before, std::size_t after) {
    bool const is_new = before == 0;
    if (is_new && this->session.size() + this->prepared.size() >= max_session_names) {
        return error_decision(
            statement_error::too_large, "the session has too many names");
    }
    switch (this->memory.resize(this->memory.bytes() - before + after)) {
    case memory_answer::over_limit:
        return error_decision(
            statement_error::too_large, "the session's values and shapes are too large");
    case memory_answer::out_of_budget:
        return error_decision(
            statement_error::busy, "the host has no memory left for large sessions");
    default:
        return std::nullopt;
    }
}

statement_decision client_session_state::execute_decision(
    statement const& command, statement_action step) const {
    statement_decision decision;
    decision.step = step;
    decision.writes = this->is_write(command);
    // Inside a transaction the position stands before its BEGIN.
    bool const may_have_floor =
        step == statement_action::execute_single && !decision.writes;
    if (may_have_floor && command.fit == upstream_fit::without_floor) {
        return too_large_decision();
    }
    if (command.verb == statement_verb::execute) {
        decision.prepared = this->prepared.find(command.name)->second;
        decision.text = command.argument;
    } else {
        decision.text = command.text;
    }
    if (decision.writes && this->is_read_only &&
        this->current == transaction_state::open) {
        return error_decision(statement_error::read_only, "the transaction only reads");
    }
    return decision;
}

bool client_session_state::is_write(statement const& command) const {
    if (command.verb == statement_verb::execute) {
        auto const found = this->prepared.find(command.name);
        return found != this->prepared.end() && found->second.writes;
    }
    return command.verb == statement_verb::write;
}

void client_session_state::opened(std::string database, transaction_id id) {
    this->open_database = std::move(database);
    this->open_transaction = id;
}

void client_session_state::failed() {
    if (this->current == transaction_state::open) {
        this->current = transaction_state::failed;
    }
    this->open_transaction = {};
    this->open_database.clear();
}

void client_session_state::ended() {
    this->current = transaction_state::idle;
    this->is_read_only = false;
    this->open_transaction = {};
    this->open_database.clear();
}

void client_session_state::acknowledged(std::string_view group, log_position position) {
    auto const found = this->commits.find(group);
    if (found == this->commits.end()) {
        this->commits.emplace(group, position);
        return;
    }
    found->second = std::max(found->second, position);
}

std::optional<log_position>
client_session_state::last_commit_position(std::string_view group) const {
    auto const found = this->commits.find(group);
    if (found == this->commits.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace persimmonpoint
