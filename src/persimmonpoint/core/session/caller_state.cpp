#include <algorithm>
#include <persimmonpoint/core/session/caller_state.hpp>

namespace persimmonpoint {

namespace {

/// A session that keeps more values or prepared statements than this is refused more.
constexpr std::size_t most_names = 1000;

caller_decision done() {
    return caller_decision{};
}

caller_decision refused(statement_error code, std::string text) {
    caller_decision decision;
    decision.step = statement_step::reply_error;
    decision.error = code;
    decision.error_text = std::move(text);
    return decision;
}

} // namespace

caller_decision caller_state::decide(statement const& what) {
    switch (this->current) {
    case transaction_state::idle:
        return this->decide_idle(what);
    case transaction_state::open:
        return this->decide_open(what);
    default:
        return this->decide_failed(what);
    }
}

caller_decision caller_state::decide_idle(statement const& what) {
    if (auto decision = this->decide_session(what)) {
        return *decision;
    }
    switch (what.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read:
        this->current = transaction_state::open;
        this->reads_only = what.verb == statement_verb::begin_read;
        this->open_lane = 0;
        this->open_database.clear();
        return done();
    case statement_verb::commit:
    case statement_verb::rollback:
        return refused(statement_error::malformed, "no transaction is open");
    default:
        return this->to_run(what, statement_step::run_single);
    }
}

caller_decision caller_state::decide_open(statement const& what) {
    if (auto decision = this->decide_session(what)) {
        return *decision;
    }
    bool const at_database = this->open_lane != 0;
    switch (what.verb) {
    case statement_verb::begin:
    case statement_verb::begin_read:
        return refused(statement_error::malformed, "a transaction is open already");
    case statement_verb::commit:
        return this->to_run(
            what, at_database ? statement_step::commit_inside : statement_step::open);
    case statement_verb::rollback: {
        caller_decision decision;
        decision.step =
            at_database ? statement_step::rollback_inside : statement_step::reply_done;
        this->current = transaction_state::idle;
        return decision;
    }
    default:
        return this->to_run(
            what, at_database ? statement_step::run_inside : statement_step::open);
    }
}

caller_decision caller_state::decide_failed(statement const& what) {
    switch (what.verb) {
    case statement_verb::rollback:
        this->ended();
        return done();
    case statement_verb::commit:
        this->ended();
        return refused(
            statement_error::aborted, "the transaction failed and rolled back");
    default:
        return refused(
            statement_error::malformed, "the transaction failed; only its end is taken");
    }
}

std::optional<caller_decision> caller_state::decide_session(statement const& what) {
    bool const full = this->session.size() + this->prepared.size() >= most_names;
    switch (what.verb) {
    case statement_verb::set:
        if (full && this->session.count(what.name) == 0) {
            return refused(statement_error::too_large, "too many session values");
        }
        this->session[what.name] = what.argument;
        return done();
    case statement_verb::prepare_read:
    case statement_verb::prepare_write:
        if (full && this->prepared.count(what.name) == 0) {
            return refused(statement_error::too_large, "too many prepared statements");
        }
        this->prepared[what.name] =
            prepared_shape{what.argument, what.verb == statement_verb::prepare_write};
        return done();
    case statement_verb::deallocate:
        if (this->prepared.erase(what.name) == 0) {
            return refused(
                statement_error::unknown_statement,
                "nothing is prepared as " + what.name);
        }
        return done();
    case statement_verb::execute:
        if (this->prepared.count(what.name) == 0) {
            return refused(
                statement_error::unknown_statement,
                "nothing is prepared as " + what.name);
        }
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

caller_decision caller_state::to_run(statement const& what, statement_step step) const {
    caller_decision decision;
    decision.step = step;
    decision.writes = this->is_write(what);
    if (what.verb == statement_verb::execute) {
        decision.prepared = this->prepared.find(what.name)->second;
        decision.text = what.argument;
    } else {
        decision.text = what.text;
    }
    if (decision.writes && this->reads_only && this->current == transaction_state::open) {
        return refused(statement_error::read_only, "the transaction only reads");
    }
    return decision;
}

bool caller_state::is_write(statement const& what) const {
    if (what.verb == statement_verb::execute) {
        auto const found = this->prepared.find(what.name);
        return found != this->prepared.end() && found->second.writes;
    }
    return what.verb == statement_verb::write;
}

void caller_state::opened(std::string database, std::uint64_t lane) {
    this->open_database = std::move(database);
    this->open_lane = lane;
}

void caller_state::failed() {
    if (this->current == transaction_state::open) {
        this->current = transaction_state::failed;
    }
    this->open_lane = 0;
    this->open_database.clear();
}

void caller_state::ended() {
    this->current = transaction_state::idle;
    this->reads_only = false;
    this->open_lane = 0;
    this->open_database.clear();
}

void caller_state::acknowledged(std::string_view group, log_position position) {
    auto const found = this->commits.find(group);
    if (found == this->commits.end()) {
        this->commits.emplace(group, position);
        return;
    }
    found->second = std::max(found->second, position);
}

std::optional<log_position> caller_state::own_commit(std::string_view group) const {
    auto const found = this->commits.find(group);
    if (found == this->commits.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace persimmonpoint
