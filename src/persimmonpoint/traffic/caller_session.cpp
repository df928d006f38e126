#include <algorithm>
#include <persimmonpoint/core/routing/session_token.hpp>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/traffic/caller_session.hpp>
#include <utility>

namespace persimmonpoint::traffic {

namespace {

/// A caller that reads slowly holds back its rows above this (bytes).
constexpr std::size_t high_water_bytes = 1024 * 1024;

bool is_data(classified_statement const& statement) {
    return statement.kind == statement_kind::read ||
           statement.kind == statement_kind::write;
}

bool is_transaction_control(classified_statement const& statement) {
    return statement.kind == statement_kind::begin ||
           statement.kind == statement_kind::commit ||
           statement.kind == statement_kind::rollback;
}

} // namespace

/// A query message of one or more statements.
struct caller_session::simple_query {
    std::shared_ptr<classified_query const> statements;
    std::size_t next = 0;
};

caller_session::caller_session(
    worker_context& worker,
    std::shared_ptr<postgres::frame_channel> channel,
    cancel_registry& cancels,
    cancel_key key,
    bool is_loopback,
    std::function<void(caller_session&)> on_end)
    : worker(worker),
      channel(std::move(channel)),
      cancels(cancels),
      key(key),
      is_loopback(is_loopback),
      on_end(std::move(on_end)),
      machine(worker.session_rules),
      executor(worker),
      timer(worker.loop) {}

caller_session::~caller_session() = default;

void caller_session::start() {
    this->arm_timer(
        this->worker.settings.startup_timeout, "08P01", "the startup took too long");
    this->channel->start(this->shared_from_this());
}

void caller_session::on_message(postgres::frontend_message const& message) {
    bool const skipping = this->machine.is(session_state::failed_batch) &&
                          !std::holds_alternative<postgres::sync_message>(message) &&
                          !std::holds_alternative<postgres::terminate_message>(message);
    if (!skipping) {
        std::visit([this](auto const& each) { this->handle(each); }, message);
    }
}

void caller_session::on_held_input() {
    if (!this->on_next) {
        return;
    }
    if (auto const next = this->channel->peek()) {
        auto const then = std::exchange(this->on_next, nullptr);
        then(*next);
    }
}

void caller_session::on_bad_frame(error const& failure) {
    this->end(failure.sqlstate, failure.message);
}

void caller_session::on_closed() {
    this->machine.fire(session_event::ended);
    this->timer.cancel();
    this->on_next = nullptr;
    this->executor.abandon();
    this->cancels.remove(this->key.process_id);
    if (auto const ended = std::exchange(this->on_end, nullptr)) {
        ended(*this);
    }
}

void caller_session::on_snapshot() {
    auto const& configuration = *this->worker.snapshot->configuration;
    bool const accepted = this->machine.is(session_state::ready) ||
                          this->machine.is(session_state::busy) ||
                          this->machine.is(session_state::failed_batch);
    if (!accepted) {
        return;
    }
    if (!this->identity.key_id.empty() &&
        !configuration.is_granted(this->identity.key_id, this->identity.key_digest)) {
        this->end(
            "28000", "the key of team \"" + this->identity.team + "\" is withdrawn");
        return;
    }
    route const* current = configuration.find_route(this->identity.route);
    bool const keyless_closed =
        this->identity.key_id.empty() && current != nullptr && !current->open;
    if (current == nullptr || current->group != this->identity.group || keyless_closed) {
        this->end("57P01", "route \"" + this->identity.route + "\" has changed");
        return;
    }
    bool const idle =
        this->machine.is(session_state::ready) && !this->executor.in_transaction();
    if (this->worker.snapshot->draining && idle) {
        this->end("57P01", "this host is shutting down");
    }
}

void caller_session::cancel() {
    this->executor.cancel();
}

void caller_session::end(std::string_view sqlstate, std::string_view reason) {
    if (this->machine.is(session_state::closed)) {
        return;
    }
    error failure{std::string(sqlstate), std::string(reason)};
    if (this->machine.is(session_state::busy)) {
        failure.known_effect = effect::unknown; // What runs is cut off with the session.
    }
    this->machine.fire(session_event::ended);
    this->timer.cancel();
    this->executor.abandon();
    this->channel->writer().error_response(failure, "FATAL");
    this->channel->close_after_flush();
}

void caller_session::cut_off() {
    this->channel->close();
}

// Startup.

void caller_session::handle(postgres::ssl_request const&) {
    if (this->worker.tls == nullptr || !this->machine.is(session_state::startup)) {
        this->channel->reject_encryption();
        return;
    }
    this->is_encrypted = true;
    this->channel->upgrade_to_tls(*this->worker.tls);
}

void caller_session::handle(postgres::gss_request const&) {
    this->channel->reject_encryption();
}

void caller_session::handle(postgres::cancel_request const& message) {
    this->cancels.cancel(message.process_id, message.secret);
    this->channel->close();
}

void caller_session::handle(postgres::startup_message const& message) {
    this->machine.fire(session_event::startup_received);
    this->channel->set_phase(postgres::decoder_phase::regular);
    if (!this->worker.snapshot || this->worker.snapshot->draining) {
        this->end("57P03", "this host takes no new callers");
        return;
    }
    std::string_view const user = message.parameter("user");
    std::string_view const database = message.parameter("database");
    std::string const name(database.empty() ? user : database);
    route const* wanted = this->worker.snapshot->configuration->find_route(name);
    if (wanted == nullptr) {
        this->end("3D000", "route \"" + name + "\" does not exist");
        return;
    }
    this->identity.route = wanted->name;
    this->identity.group = wanted->group;
    if (wanted->open) {
        this->identity.limit_name = "route:" + wanted->name;
    } else {
        this->identity.team = user;
        this->identity.limit_name = user;
    }
    this->executor.set_identity(this->identity);
    if (auto const applied = this->apply_startup_options(message); !applied) {
        this->end(applied.error().sqlstate, applied.error().message);
        return;
    }
    if (wanted->open) {
        this->accept_caller();
        return;
    }
    bool const exposed = !this->is_encrypted && !this->is_loopback;
    if (exposed && !this->worker.settings.allow_clear_text_keys) {
        this->end("28000", "a key in clear text is refused; connect with TLS");
        return;
    }
    this->channel->writer().authentication_cleartext();
    this->channel->flush();
}

result<void>
caller_session::apply_startup_options(postgres::startup_message const& message) {
    std::vector<std::pair<std::string, std::string>> wanted =
        parse_options(message.parameter("options"));
    for (auto const& [name, value] : message.parameters) {
        bool const protocol = name == "user" || name == "database" || name == "options" ||
                              name == "replication" || name.starts_with("_pq_.");
        if (!protocol) {
            wanted.emplace_back(name, value);
        }
    }
    for (auto const& [name, value] : wanted) {
        if (name != session_parameter) {
            if (auto const set = this->executor.parameters().set(name, value); !set) {
                return set.error();
            }
            continue;
        }
        auto const position = verify_token(
            this->worker.settings.token_secret, value, this->identity.group,
            this->identity.team);
        if (!position) {
            return position.error();
        }
        this->executor.raise_floor(position.value());
    }
    return boost::outcome_v2::success();
}

void caller_session::handle(postgres::password_message const& message) {
    if (!this->machine.is(session_state::authenticating)) {
        this->end("08P01", "a password was not asked for");
        return;
    }
    team_key const* key = this->worker.snapshot->configuration->match_key(
        this->identity.team, message.password);
    if (key == nullptr ||
        this->worker.snapshot->configuration->find_team(this->identity.team) == nullptr) {
        observe::log(
            observe::log_level::info, observe::log_part::session,
            "Refused a key for team \"" + this->identity.team + "\".");
        this->end("28P01", "no such key of team \"" + this->identity.team + "\"");
        return;
    }
    this->identity.key_id = key->id;
    this->identity.key_digest = key->digest;
    this->executor.set_identity(this->identity);
    this->accept_caller();
}

void caller_session::accept_caller() {
    this->machine.fire(session_event::key_accepted);
    this->timer.cancel();
    postgres::backend_writer& writer = this->channel->writer();
    writer.authentication_ok();
    writer.parameter_status("server_version", "15.0");
    writer.parameter_status("server_encoding", "UTF8");
    writer.parameter_status("client_encoding", "UTF8");
    writer.parameter_status("DateStyle", "ISO, MDY");
    writer.parameter_status("integer_datetimes", "on");
    writer.parameter_status("standard_conforming_strings", "on");
    writer.backend_key_data(this->key.process_id, this->key.secret);
    this->ready_for_query();
}

bool caller_session::is_ready_for_commands() const {
    return this->machine.is(session_state::ready);
}

// Simple queries.

void caller_session::handle(postgres::query_message const& message) {
    if (!this->is_ready_for_commands()) {
        this->end("08P01", "a query came before the startup was over");
        return;
    }
    auto classified = this->worker.classifier.classify(message.text);
    if (!classified) {
        if (!this->executor.in_transaction()) {
            this->channel->writer().error_response(classified.error());
            this->ready_for_query();
            return;
        }
        // Inside a transaction the database itself must see the error.
        classified_statement broken;
        broken.text = message.text;
        classified = std::make_shared<classified_query const>(1, std::move(broken));
    }
    if (classified.value()->empty()) {
        this->channel->writer().empty_query();
        this->ready_for_query();
        return;
    }
    this->begin_work();
    auto query = std::make_shared<simple_query>();
    query->statements = classified.value();
    this->run_simple(std::move(query));
}

void caller_session::run_simple(std::shared_ptr<simple_query> query) {
    auto const& statements = *query->statements;
    bool const needs_transaction =
        statements.size() > 1 && !this->executor.in_transaction() &&
        std::ranges::any_of(statements, is_data) &&
        std::ranges::none_of(statements, is_transaction_control);
    if (!needs_transaction) {
        this->run_simple_statement(std::move(query));
        return;
    }
    this->executor.begin_implicit(
        [self = this->shared_from_this(), query](statement_reply reply) {
            if (reply.failed()) {
                self->write_failure(reply);
                self->finish_simple(query);
                return;
            }
            self->run_simple_statement(query);
        });
}

void caller_session::run_simple_statement(std::shared_ptr<simple_query> query) {
    if (query->next == query->statements->size()) {
        this->finish_simple(std::move(query));
        return;
    }
    statement_request request;
    request.statement = (*query->statements)[query->next++];
    request.query.sql = request.statement.text;
    request.forward = this->forwarder();
    this->executor.execute(
        std::move(request),
        [self = this->shared_from_this(), query](statement_reply reply) {
            if (!reply.failed()) {
                self->write_reply(reply, column_mode::if_any);
                self->run_simple_statement(query);
                return;
            }
            self->write_failure(reply);
            query->next = query->statements->size();
            if (self->executor.in_implicit()) {
                self->executor.end_implicit(false, [self, query](statement_reply) {
                    self->finish_simple(query);
                });
                return;
            }
            self->finish_simple(query);
        });
}

void caller_session::finish_simple(std::shared_ptr<simple_query> query) {
    if (this->executor.in_implicit()) {
        this->executor.end_implicit(
            true, [self = this->shared_from_this(), query](statement_reply reply) {
                if (reply.failed()) {
                    self->write_failure(reply);
                } else {
                    self->write_position(reply);
                }
                self->finish_simple(query);
            });
        return;
    }
    this->end_work();
    this->ready_for_query();
}

// The extended protocol.

void caller_session::when_next_known(
    std::function<void(postgres::frontend_message const&)> then) {
    this->channel->pause();
    this->channel->flush();
    this->on_next = std::move(then); // on_held_input() follows in any case.
}

void caller_session::handle(postgres::parse_message const& message) {
    if (auto const parsed = this->prepared.parse(message, this->worker.classifier);
        !parsed) {
        this->fail_batch(parsed.error());
        return;
    }
    this->channel->writer().parse_complete();
}

void caller_session::handle(postgres::bind_message const& message) {
    if (auto const bound = this->prepared.bind(message); !bound) {
        this->fail_batch(bound.error());
        return;
    }
    this->channel->writer().bind_complete();
}

void caller_session::handle(postgres::describe_message const& message) {
    if (message.kind == postgres::target_kind::statement) {
        prepared_statement const* source = this->prepared.find_statement(message.name);
        if (source == nullptr) {
            this->fail_batch(error{
                "26000", "prepared statement \"" + std::string(message.name) +
                             "\" does not exist"});
            return;
        }
        this->describe_statement(*source);
        return;
    }
    if (this->prepared.find_portal(message.name) == nullptr) {
        this->fail_batch(error{
            "34000", "portal \"" + std::string(message.name) + "\" does not exist"});
        return;
    }
    this->when_next_known(
        [self = this->shared_from_this(),
         name = std::string(message.name)](postgres::frontend_message const& next) {
            auto const* execute = std::get_if<postgres::execute_message>(&next);
            if (execute != nullptr && execute->portal == name) {
                self->described_portal = name;
                self->channel->resume();
                return;
            }
            self->describe_portal(name);
        });
}

void caller_session::describe_statement(prepared_statement const& source) {
    statement_request request;
    request.statement = source.statement;
    request.query.sql = source.statement.text;
    request.query.parameter_types = source.types;
    this->begin_work();
    this->run_described(std::move(request), true);
}

void caller_session::describe_portal(std::string const& name) {
    portal const* source = this->prepared.find_portal(name);
    statement_request request;
    request.statement = source->request.statement;
    request.query.sql = source->request.query.sql;
    request.query.parameter_types = source->request.query.parameter_types;
    this->begin_work();
    this->run_described(std::move(request), false);
}

void caller_session::run_described(statement_request request, bool with_parameters) {
    request.query.describe_only = true;
    bool const remote = is_data(request.statement) ||
                        (request.statement.kind == statement_kind::show &&
                         !request.statement.parameter.starts_with(own_prefix));
    if (!remote) {
        if (with_parameters) {
            this->channel->writer().parameter_description({});
        }
        this->channel->writer().no_data();
        this->end_work();
        return;
    }
    request.statement.kind = statement_kind::read; // Nothing is executed.
    this->executor.execute(
        std::move(request),
        [self = this->shared_from_this(), with_parameters](statement_reply reply) {
            if (reply.failed()) {
                self->fail_batch(reply);
                return;
            }
            if (with_parameters) {
                self->channel->append(reply.answer.parameters);
            }
            self->write_columns(reply.answer, column_mode::described);
            self->end_work();
        });
}

void caller_session::handle(postgres::execute_message const& message) {
    if (this->prepared.find_portal(message.portal) == nullptr) {
        this->fail_batch(error{
            "34000", "portal \"" + std::string(message.portal) + "\" does not exist"});
        return;
    }
    std::size_t const row_limit =
        message.row_limit > 0 ? static_cast<std::size_t>(message.row_limit) : 0;
    this->when_next_known([self = this->shared_from_this(),
                           name = std::string(message.portal),
                           row_limit](postgres::frontend_message const& next) {
        bool const stands_alone = std::holds_alternative<postgres::sync_message>(next);
        self->start_execute(name, row_limit, stands_alone);
    });
}

void caller_session::start_execute(
    std::string const& name, std::size_t row_limit, bool stands_alone) {
    this->begin_work();
    portal const& source = *this->prepared.find_portal(name);
    bool const needs_transaction = !stands_alone && !this->executor.in_transaction() &&
                                   is_data(source.request.statement) && !source.suspended;
    if (!needs_transaction) {
        this->execute_portal(name, row_limit);
        return;
    }
    this->executor.begin_implicit(
        [self = this->shared_from_this(), name, row_limit](statement_reply reply) {
            if (reply.failed()) {
                self->fail_batch(reply);
                return;
            }
            self->execute_portal(name, row_limit);
        });
}

void caller_session::execute_portal(std::string const& name, std::size_t row_limit) {
    portal* source = this->prepared.find_portal(name);
    if (source->suspended) {
        this->write_portal_rows(*source, row_limit);
        this->end_work();
        return;
    }
    bool const with_columns = std::exchange(this->described_portal, {}) == name;
    column_mode const mode = with_columns ? column_mode::described : column_mode::none;
    statement_request request = source->request;
    request.want_columns = with_columns;
    request.keep_row_ends = row_limit > 0;
    if (row_limit == 0) {
        request.forward = this->forwarder();
    }
    this->executor.execute(
        std::move(request),
        [self = this->shared_from_this(), name, row_limit, mode](statement_reply reply) {
            if (reply.failed()) {
                self->fail_batch(reply);
                return;
            }
            portal* finished = self->prepared.find_portal(name);
            if (row_limit == 0 || finished == nullptr) {
                self->write_reply(reply, mode);
                self->end_work();
                return;
            }
            self->write_columns(reply.answer, mode);
            self->write_position(reply);
            finished->suspended = std::move(reply.answer);
            self->write_portal_rows(*finished, row_limit);
            self->end_work();
        });
}

void caller_session::write_portal_rows(portal& source, std::size_t row_limit) {
    answer_buffer const& answer = *source.suspended;
    std::size_t const count = answer.row_ends.size();
    std::size_t const wanted = row_limit == 0 ? count : row_limit;
    std::size_t const last = std::min(count, source.next_row + wanted);
    std::size_t const begin =
        source.next_row == 0 ? 0 : answer.row_ends[source.next_row - 1];
    std::size_t const end = last == 0 ? 0 : answer.row_ends[last - 1];
    this->channel->append(std::string_view(answer.rows).substr(begin, end - begin));
    source.next_row = last;
    if (last < count) {
        this->channel->writer().portal_suspended();
    } else {
        this->channel->writer().command_complete(answer.tag);
    }
}

void caller_session::handle(postgres::close_message const& message) {
    this->prepared.close(message);
    this->channel->writer().close_complete();
}

void caller_session::handle(postgres::sync_message const&) {
    bool const failed = this->machine.is(session_state::failed_batch);
    this->described_portal.clear();
    this->machine.fire(session_event::sync_received);
    if (!this->executor.in_implicit()) {
        this->finish_sync();
        return;
    }
    this->begin_work();
    this->executor.end_implicit(
        !failed, [self = this->shared_from_this(), failed](statement_reply reply) {
            if (!failed && reply.failed()) {
                self->write_failure(reply);
            } else {
                self->write_position(reply);
            }
            self->end_work();
            self->finish_sync();
        });
}

void caller_session::finish_sync() {
    if (!this->executor.in_transaction()) {
        this->prepared.close_portals();
    }
    this->ready_for_query();
}

void caller_session::handle(postgres::flush_message const&) {
    this->channel->flush();
}

void caller_session::handle(postgres::terminate_message const&) {
    this->channel->close();
}

void caller_session::handle(postgres::unsupported_message const& message) {
    bool const copy_data = message.type != 'F';
    if (!copy_data) {
        this->channel->writer().error_response(
            error{"0A000", "function calls are not served"});
        this->ready_for_query();
    }
}

void caller_session::fail_batch(error const& failure) {
    statement_reply reply;
    reply.refusal = failure;
    this->fail_batch(reply);
}

void caller_session::fail_batch(statement_reply const& reply) {
    if (this->machine.is(session_state::closed)) {
        return;
    }
    this->write_failure(reply);
    this->channel->flush();
    this->machine.fire(session_event::batch_failed);
    this->channel->resume();
}

// Shared by both protocols.

void caller_session::begin_work() {
    this->machine.fire(session_event::request_received);
    this->timer.cancel();
    this->channel->pause();
}

void caller_session::end_work() {
    if (this->machine.fire(session_event::request_done)) {
        this->channel->resume();
    }
}

void caller_session::write_reply(statement_reply const& reply, column_mode mode) {
    this->write_position(reply);
    this->write_columns(reply.answer, mode);
    this->channel->append(reply.answer.rows);
    if (reply.answer.tag.empty()) {
        this->channel->writer().empty_query();
    } else {
        this->channel->writer().command_complete(reply.answer.tag);
    }
}

void caller_session::write_columns(answer_buffer const& answer, column_mode mode) {
    if (answer.forwarded || mode == column_mode::none) {
        return;
    }
    if (answer.columns.empty() && mode == column_mode::described) {
        this->channel->writer().no_data();
    }
    this->channel->append(answer.columns);
}

void caller_session::write_failure(statement_reply const& reply) {
    if (reply.refusal) {
        this->channel->writer().error_response(*reply.refusal);
    } else if (reply.answer.failure) {
        this->channel->writer().forwarded_error(*reply.answer.failure);
    }
}

void caller_session::write_position(statement_reply const& reply) {
    if (reply.wrote) {
        this->channel->writer().parameter_status(
            session_parameter, this->executor.token());
    }
}

void caller_session::ready_for_query() {
    if (this->machine.is(session_state::closed)) {
        return;
    }
    this->channel->writer().ready_for_query(this->executor.status());
    this->channel->flush();
    if (this->executor.in_transaction()) {
        this->arm_timer(
            this->worker.settings.idle_in_transaction, "25P03",
            "the transaction was idle for too long; it is rolled back");
        return;
    }
    if (this->worker.snapshot && this->worker.snapshot->draining) {
        this->end("57P01", "this host is shutting down");
    }
}

std::function<bool(std::string_view)> caller_session::forwarder() {
    std::weak_ptr<caller_session> const weak = this->weak_from_this();
    return [weak](std::string_view bytes) {
        auto const self = weak.lock();
        if (!self) {
            return true;
        }
        self->channel->send(bytes);
        if (self->channel->unsent_bytes() < high_water_bytes) {
            return true;
        }
        self->channel->when_drained([self] { self->executor.resume(); });
        return false;
    };
}

void caller_session::arm_timer(duration after, char const* sqlstate, char const* reason) {
    this->timer.expires_after(after);
    this->timer.async_wait([weak = this->weak_from_this(), sqlstate,
                            reason](boost::system::error_code failure) {
        auto const self = weak.lock();
        if (!failure && self) {
            self->end(sqlstate, reason);
        }
    });
}

} // namespace persimmonpoint::traffic
