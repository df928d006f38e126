#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/core/routing/session_token.hpp>
#include <persimmonpoint/postgres/sql_text.hpp>
#include <persimmonpoint/traffic/admission.hpp>
#include <persimmonpoint/traffic/statement_executor.hpp>
#include <utility>

namespace persimmonpoint::traffic {

namespace {

constexpr char const* failed_transaction = "25P02";

instant now() {
    return std::chrono::steady_clock::now();
}

statement_reply refused(error failure) {
    statement_reply reply;
    reply.refusal = std::move(failure);
    return reply;
}

statement_reply tagged(std::string tag) {
    statement_reply reply;
    reply.answer.tag = std::move(tag);
    return reply;
}

/// Covers the text and every parameter, so that no two requests share a digest.
std::string digest_of(std::string_view before, upstream_query const& query) {
    std::string message(before);
    auto const add = [&message](std::string_view part) {
        message += std::to_string(part.size()) + ":";
        message += part;
    };
    add(query.sql);
    for (auto const& each : query.parameters) {
        add(each ? *each : "null");
        message += each ? "v" : "n";
    }
    return sha256(message);
}

} // namespace

struct statement_executor::implementation
    : std::enable_shared_from_this<statement_executor::implementation> {
    explicit implementation(worker_context& worker) : worker(worker) {}

    bool has_lease() const { return this->lease != nullptr; }

    bool is_own(classified_statement const& statement) const {
        return statement.parameter.starts_with(own_prefix);
    }

    void execute(statement_request request, handler done) {
        if (request.statement.unsupported) {
            done(refused(error{
                "0A000",
                "this statement binds the session to one connection; it can't be "
                "pooled by transaction"}));
            return;
        }
        bool const ends = request.statement.kind == statement_kind::commit ||
                          request.statement.kind == statement_kind::rollback;
        if (this->transaction_lost && !ends) {
            done(refused(
                error{failed_transaction, "the transaction was lost; end it first"}));
            return;
        }
        switch (request.statement.kind) {
        case statement_kind::empty:
            done(statement_reply{});
            return;
        case statement_kind::set:
        case statement_kind::reset:
            this->execute_set(std::move(request), std::move(done));
            return;
        case statement_kind::show:
            this->execute_show(std::move(request), std::move(done));
            return;
        case statement_kind::begin:
            this->execute_begin(std::move(request), std::move(done));
            return;
        case statement_kind::commit:
        case statement_kind::rollback:
            this->execute_end(std::move(request), std::move(done));
            return;
        case statement_kind::read:
        case statement_kind::write:
            this->execute_data(std::move(request), std::move(done));
            return;
        }
    }

    void execute_set(statement_request request, handler done) {
        classified_statement const& statement = request.statement;
        if (!this->is_own(statement) && this->has_lease() &&
            statement.parameter != "all") {
            this->execute_inside(std::move(request), std::move(done));
            return;
        }
        if (statement.kind == statement_kind::reset) {
            this->parameters.reset(statement.parameter);
            done(tagged("RESET"));
            return;
        }
        if (statement.parameter == session_parameter) {
            done(this->set_position(statement.value));
            return;
        }
        auto const outcome = this->parameters.set(statement.parameter, statement.value);
        done(outcome ? tagged("SET") : refused(outcome.error()));
    }

    statement_reply set_position(std::string_view token) {
        auto const position = verify_token(
            this->worker.settings.token_secret, token, this->identity.group,
            this->identity.team);
        if (!position) {
            return refused(position.error());
        }
        this->raise_floor(position.value());
        return tagged("SET");
    }

    void execute_show(statement_request request, handler done) {
        std::string const& name = request.statement.parameter;
        std::optional<std::string> const value =
            name == session_parameter ? this->token() : this->parameters.show(name);
        if (!value) {
            request.statement.kind = statement_kind::read;
            this->execute_data(std::move(request), std::move(done));
            return;
        }
        statement_reply reply = tagged("SHOW");
        postgres::column column;
        column.name = name;
        postgres::field const field(*value);
        postgres::backend_writer(reply.answer.columns)
            .row_description(std::span(&column, 1));
        postgres::backend_writer(reply.answer.rows).data_row(std::span(&field, 1));
        done(std::move(reply));
    }

    void execute_begin(statement_request request, handler done) {
        if (this->has_lease()) {
            this->execute_inside(std::move(request), std::move(done));
            return;
        }
        // The statements of an implicit transaction are charged one by one.
        if (auto const admitted = this->implicit
                                      ? result<void>(boost::outcome_v2::success())
                                      : this->admit();
            !admitted) {
            done(refused(admitted.error()));
            return;
        }
        this->wrote = false;
        this->transaction_digest.clear();
        this->run(flow_request_kind::begin, std::move(request), std::move(done));
    }

    void execute_end(statement_request request, handler done) {
        if (std::exchange(this->transaction_lost, false)) {
            done(tagged("ROLLBACK"));
            return;
        }
        bool const commits = request.statement.kind == statement_kind::commit;
        if (!this->has_lease()) {
            done(tagged(commits ? "COMMIT" : "ROLLBACK"));
            return;
        }
        this->implicit = false;
        bool const proven = commits && this->wrote &&
                            this->lease->status() == postgres::transaction_status::open;
        this->run(
            proven ? flow_request_kind::commit
                   : flow_request_kind::statement_in_transaction,
            std::move(request), std::move(done));
    }

    void execute_data(statement_request request, handler done) {
        if (auto const admitted = this->admit(); !admitted) {
            this->refuse_data(admitted.error(), std::move(done));
            return;
        }
        if (this->has_lease()) {
            this->execute_inside(std::move(request), std::move(done));
            return;
        }
        bool const reads = request.statement.kind == statement_kind::read;
        this->run(
            reads ? flow_request_kind::read : flow_request_kind::write,
            std::move(request), std::move(done));
    }

    /// A refusal inside a transaction ends it, as any error would.
    void refuse_data(error failure, handler done) {
        if (this->has_lease()) {
            this->lease->discard();
            this->lease.reset();
            this->transaction_lost = !this->implicit;
            this->implicit = false;
        }
        done(refused(std::move(failure)));
    }

    void execute_inside(statement_request request, handler done) {
        bool const writes = request.statement.kind == statement_kind::write;
        this->wrote = this->wrote || writes;
        this->transaction_digest = digest_of(this->transaction_digest, request.query);
        this->run(
            flow_request_kind::statement_in_transaction, std::move(request),
            std::move(done));
    }

    result<void> admit() {
        auto const& configuration = *this->worker.snapshot->configuration;
        if (!this->identity.key_id.empty() &&
            !configuration.is_granted(this->identity.key_id, this->identity.key_digest)) {
            return error{
                "28000", "the key of team \"" + this->identity.team + "\" is withdrawn"};
        }
        rate_limit limit;
        if (this->identity.key_id.empty()) {
            route const* open = configuration.find_route(this->identity.route);
            limit = open == nullptr ? rate_limit{} : open->open_limit;
        } else {
            limit = configuration.find_team(this->identity.team)->limit;
        }
        return this->worker.limits.admit(
            this->identity.limit_name, limit, this->worker.random.unit(), now());
    }

    request_facts facts(flow_request_kind kind) const {
        request_facts out;
        out.kind = kind;
        out.repeatable = this->parameters.repeatable();
        out.floor = this->floor;
        out.max_staleness = this->parameters.max_staleness();
        out.deadline = now() + this->worker.settings.statement_timeout;
        out.group = this->identity.group;
        out.availability_zone = this->worker.settings.availability_zone;
        bool const writes =
            kind == flow_request_kind::write || kind == flow_request_kind::commit;
        out.has_request_id = writes && !this->parameters.request_id().empty();
        return out;
    }

    void run(flow_request_kind kind, statement_request request, handler done) {
        statement_job job;
        job.facts = this->facts(kind);
        job.team = this->identity.limit_name;
        job.query = std::move(request.query);
        job.keep_row_ends = request.keep_row_ends;
        job.want_columns = request.want_columns;
        job.changes_session = request.statement.changes_session;
        job.forward = std::move(request.forward);
        if (!this->has_lease()) {
            for (auto const& [name, value] : this->parameters.upstream()) {
                job.session_sql.push_back(postgres::set_command(name, value));
            }
        }
        if (job.facts.has_request_id) {
            job.ledger_id = this->identity.team + "/" + this->parameters.request_id();
            job.ledger_digest = kind == flow_request_kind::commit
                                    ? this->transaction_digest
                                    : digest_of("", job.query);
        }
        auto const self = this->shared_from_this();
        this->runner = std::make_shared<statement_runner>(
            this->worker, std::move(job), std::move(this->lease),
            [self, kind, done = std::move(done)](statement_outcome outcome) {
                self->finished(kind, std::move(outcome), done);
            });
        auto const keep = this->runner;
        keep->start();
    }

    void
    finished(flow_request_kind kind, statement_outcome outcome, handler const& done) {
        this->runner.reset();
        this->lease = std::move(outcome.lease);
        if (outcome.position) {
            this->raise_floor(*outcome.position);
        }
        bool const transaction_ended_badly =
            kind == flow_request_kind::statement_in_transaction && outcome.refusal &&
            !this->lease;
        if (transaction_ended_badly) {
            this->transaction_lost = !this->implicit;
            this->implicit = false;
        }
        statement_reply reply;
        reply.wrote = outcome.position && (kind == flow_request_kind::write ||
                                           kind == flow_request_kind::commit);
        reply.refusal = std::move(outcome.refusal);
        reply.answer = std::move(outcome.answer);
        done(std::move(reply));
    }

    void raise_floor(log_position position) {
        if (!this->floor) {
            this->floor = position;
            return;
        }
        this->floor->term = std::max(this->floor->term, position.term);
        this->floor->offset = std::max(this->floor->offset, position.offset);
    }

    std::string token() const {
        if (!this->floor) {
            return {};
        }
        return sign_token(
            this->worker.settings.token_secret,
            session_position{this->identity.group, this->identity.team, *this->floor});
    }

    worker_context& worker;
    session_identity identity;
    session_parameters parameters;
    std::optional<log_position> floor;
    std::unique_ptr<connection_lease> lease;
    std::shared_ptr<statement_runner> runner;
    std::string transaction_digest;
    bool wrote = false;            ///< The open transaction may have written.
    bool implicit = false;         ///< The caller didn't ask for the open transaction.
    bool transaction_lost = false; ///< The caller has yet to end what is gone already.
};

statement_executor::statement_executor(worker_context& worker)
    : impl(std::make_shared<implementation>(worker)) {}

statement_executor::~statement_executor() {
    this->abandon();
}

void statement_executor::set_identity(session_identity identity) {
    this->impl->identity = std::move(identity);
}

session_identity const& statement_executor::identity() const {
    return this->impl->identity;
}

session_parameters& statement_executor::parameters() {
    return this->impl->parameters;
}

void statement_executor::raise_floor(log_position position) {
    this->impl->raise_floor(position);
}

std::string statement_executor::token() const {
    return this->impl->token();
}

void statement_executor::execute(statement_request request, handler done) {
    this->impl->execute(std::move(request), std::move(done));
}

void statement_executor::begin_implicit(handler done) {
    statement_request request;
    request.statement.kind = statement_kind::begin;
    request.query.sql = "BEGIN";
    auto const impl = this->impl;
    impl->implicit = true;
    impl->execute(
        std::move(request), [impl, done = std::move(done)](statement_reply reply) {
            impl->implicit = impl->has_lease();
            done(std::move(reply));
        });
}

void statement_executor::end_implicit(bool keep, handler done) {
    this->impl->implicit = false;
    statement_request request;
    request.statement.kind = keep ? statement_kind::commit : statement_kind::rollback;
    request.query.sql = keep ? "COMMIT" : "ROLLBACK";
    this->impl->execute(std::move(request), std::move(done));
}

bool statement_executor::in_implicit() const {
    return this->impl->implicit;
}

bool statement_executor::in_transaction() const {
    return this->impl->has_lease() || this->impl->transaction_lost;
}

postgres::transaction_status statement_executor::status() const {
    if (this->impl->transaction_lost) {
        return postgres::transaction_status::failed;
    }
    return this->impl->has_lease() ? this->impl->lease->status()
                                   : postgres::transaction_status::idle;
}

void statement_executor::resume() {
    if (this->impl->runner) {
        this->impl->runner->resume();
    }
}

void statement_executor::cancel() {
    if (this->impl->runner) {
        this->impl->runner->cancel();
    }
}

void statement_executor::abandon() {
    if (this->impl->runner) {
        this->impl->runner->abandon();
        this->impl->runner.reset();
    }
    if (this->impl->lease) {
        this->impl->lease->discard();
        this->impl->lease.reset();
    }
}

} // namespace persimmonpoint::traffic
