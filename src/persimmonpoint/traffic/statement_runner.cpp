#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <persimmonpoint/core/digest.hpp>
#include <persimmonpoint/core/recovery/lost_response_detector.hpp>
#include <persimmonpoint/postgres/group_state_query.hpp>
#include <persimmonpoint/traffic/ledger.hpp>
#include <persimmonpoint/traffic/statement_runner.hpp>
#include <utility>

namespace persimmonpoint::traffic {

namespace asio = boost::asio;

namespace {

constexpr char const* read_only_state = "25006";
constexpr char const* unique_violation = "23505";
constexpr char const* undefined_table = "42P01";
/// Rows are forwarded in pieces of about this size (bytes).
constexpr std::size_t forward_bytes = 32768;
/// How often a statement without an answer is held against what control knows.
constexpr duration superseded_check_interval = std::chrono::milliseconds(100);
/// Pool and control refuse by the deadline themselves; this is their time to be heard.
constexpr duration deadline_grace = std::chrono::milliseconds(500);

instant now() {
    return std::chrono::steady_clock::now();
}

upstream_query make_query(std::string_view sql, bool sync_after) {
    upstream_query query;
    query.sql = sql;
    query.sync_after = sync_after;
    return query;
}

} // namespace

/// Also observes the batch that runs at the moment.
struct statement_runner::implementation final
    : answer_observer,
      std::enable_shared_from_this<statement_runner::implementation> {
    /// What the running batch is for.
    enum class phase { none, statement, finish_ledger, roll_back, look_up };
    static constexpr std::size_t no_query = static_cast<std::size_t>(-1);

    implementation(
        worker_context& worker,
        statement_job job,
        std::unique_ptr<connection_lease> lease,
        handler done)
        : worker(worker),
          job(std::move(job)),
          lease(std::move(lease)),
          done(std::move(done)),
          flow(
              this->job.facts,
              worker.retry_budgets[this->job.facts.group],
              worker.random),
          timer(worker.loop),
          deadline_timer(worker.loop) {}

    request_flow::context context() {
        this->loads = this->worker.loads_of(this->job.facts.group);
        return request_flow::context{
            now(), this->worker.view_of(this->job.facts.group), this->loads};
    }

    void start() {
        this->arm_deadline(this->job.facts.deadline);
        this->perform(this->flow.start(this->context()));
    }

    void arm_deadline(instant when) {
        this->deadline_timer.expires_at(when);
        this->deadline_timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure) {
                    self->deadline_passed();
                }
            });
    }

    void perform(flow_action const& action) {
        if (!this->done) {
            return;
        }
        switch (action.step) {
        case flow_step::establish_floor:
            this->drop_lease();
            this->confirm_position();
            return;
        case flow_step::acquire:
            this->acquire(action.database);
            return;
        case flow_step::execute:
            this->execute(action);
            return;
        case flow_step::confirm_durable:
            this->confirm_durable(action.position);
            return;
        case flow_step::look_up:
            this->look_up();
            return;
        case flow_step::wait:
            this->drop_lease();
            this->wait(action.delay);
            return;
        case flow_step::succeed:
            this->succeed(action.position);
            return;
        case flow_step::succeed_stored:
            this->answer = std::move(this->stored);
            this->succeed(action.position);
            return;
        case flow_step::fail:
            this->fail(action.failure);
            return;
        }
    }

    /// Gives up the connection of an attempt that is over.
    void drop_lease() {
        if (this->lease) {
            this->lease->release();
            this->lease.reset();
        }
    }

    void confirm_position() {
        this->worker.control.confirm_position(
            this->job.facts.group, this->job.facts.deadline,
            [self = this->shared_from_this()](std::optional<log_position> position) {
                self->perform(
                    position ? self->flow.floor_established(*position, self->context())
                             : self->flow.floor_failed(self->context()));
            });
    }

    void acquire(std::size_t database) {
        this->drop_lease();
        auto const found = this->worker.pools.find(this->job.facts.group);
        if (found == this->worker.pools.end() || database >= found->second.size()) {
            this->perform(this->flow.acquire_failed(
                "group \"" + this->job.facts.group + "\" has no such database",
                this->context()));
            return;
        }
        this->waiting_pool = found->second[database];
        std::uint64_t const ticket = this->waiting_pool->acquire(
            this->job.team, this->job.facts.deadline,
            [self = this->shared_from_this()](
                result<std::unique_ptr<connection_lease>> got) {
                self->waiting_pool.reset();
                self->acquired(std::move(got));
            });
        this->ticket = ticket;
    }

    void acquired(result<std::unique_ptr<connection_lease>> got) {
        if (!this->done) {
            return; // The lease closes its connection by itself.
        }
        if (!got) {
            this->perform(
                this->flow.acquire_failed(got.error().message, this->context()));
            return;
        }
        this->lease = std::move(got.value());
        this->lease->set_database(this->flow.database().value_or(0));
        this->fresh_connection = true;
        this->perform(this->flow.acquired(this->context()));
    }

    /// Starts a batch with the session's own settings, if the connection lacks them.
    std::vector<upstream_query> new_batch() {
        std::vector<upstream_query> batch;
        if (std::exchange(this->fresh_connection, false)) {
            for (std::string const& sql : this->job.session_sql) {
                // No sync: if a setting is refused, the statement must not run either.
                batch.push_back(make_query(sql, false));
                this->lease->mark_dirty();
            }
        }
        return batch;
    }

    void execute(flow_action const& action) {
        if (!this->lease) {
            this->perform(this->flow.lost(false, this->context()));
            return;
        }
        this->answer.clear();
        this->floor = action.floor;
        this->report.reset();
        this->refused = false;
        this->forwarded = false;
        this->state_query = no_query;
        this->ledger_query = no_query;
        if (this->job.changes_session) {
            this->lease->mark_dirty();
        }
        std::vector<upstream_query> batch = this->new_batch();
        switch (this->job.facts.kind) {
        case flow_request_kind::read:
            this->state_query = batch.size();
            batch.push_back(make_query(postgres::group_state_query, false));
            this->add_statement(batch, true);
            break;
        case flow_request_kind::statement_in_transaction:
            this->add_statement(batch, true);
            break;
        case flow_request_kind::write:
            this->build_write(batch);
            break;
        case flow_request_kind::commit:
            this->build_commit(batch);
            break;
        case flow_request_kind::begin:
            this->add_statement(batch, true);
            this->add_state(batch);
            break;
        }
        this->run(phase::statement, std::move(batch));
    }

    void add_statement(std::vector<upstream_query>& batch, bool sync_after) {
        this->statement_query = batch.size();
        batch.push_back(this->job.query);
        batch.back().sync_after = sync_after;
    }

    void add_state(std::vector<upstream_query>& batch) {
        this->state_query = batch.size();
        batch.push_back(make_query(postgres::group_state_query, true));
    }

    void build_write(std::vector<upstream_query>& batch) {
        if (this->job.ledger_id.empty()) {
            this->add_statement(batch, true);
            this->add_state(batch);
            return;
        }
        batch.push_back(make_query("BEGIN", false));
        this->ledger_query = batch.size();
        batch.push_back(ledger::insert(this->job.ledger_id, this->job.ledger_digest));
        this->add_statement(batch, true);
    }

    void build_commit(std::vector<upstream_query>& batch) {
        if (!this->job.ledger_id.empty()) {
            this->ledger_query = batch.size();
            batch.push_back(ledger::insert(this->job.ledger_id, this->job.ledger_digest));
            batch.push_back(ledger::store(this->job.ledger_id, ledger::stored_commit()));
        }
        this->add_statement(batch, true);
        this->add_state(batch);
    }

    void run(phase next, std::vector<upstream_query> batch) {
        this->running = next;
        this->error_query = no_query;
        ++this->run_count;
        this->silence.reset();
        this->arm_probe();
        this->lease->link().run(std::move(batch), this->shared_from_this());
    }

    // The observer's side.

    void on_parameters(std::size_t, std::span<std::uint32_t const> types) override {
        postgres::backend_writer writer(this->answer.parameters);
        writer.parameter_description(types);
    }

    void
    on_columns(std::size_t query, std::span<postgres::column const> columns) override {
        if (this->running == phase::statement && query == this->statement_query &&
            !this->refused) {
            postgres::backend_writer writer(this->answer.columns);
            writer.row_description(columns);
        }
    }

    void on_row(std::size_t query, std::span<postgres::field const> fields) override {
        this->disarm_probe();
        if (this->running == phase::look_up) {
            if (query == this->state_query) {
                this->report = postgres::parse_group_state(fields);
            } else {
                this->ledger_entry = ledger::parse(fields);
            }
            return;
        }
        if (query == this->state_query) {
            this->report = postgres::parse_group_state(fields);
            this->check_floor();
            return;
        }
        if (query != this->statement_query || this->refused) {
            return;
        }
        postgres::backend_writer writer(this->answer.rows);
        writer.data_row(fields);
        if (this->job.keep_row_ends) {
            this->answer.row_ends.push_back(this->answer.rows.size());
        }
        this->forward_if_large();
    }

    /// A read's report comes in front of its rows, on the same connection.
    void check_floor() {
        if (this->job.facts.kind != flow_request_kind::read || !this->floor) {
            return;
        }
        this->refused = !this->report || !covers(this->reached(), *this->floor);
    }

    /// How far the reporting database is. A primary is at the head of its own term.
    log_position reached() const {
        log_position end = this->report->end_of_log;
        if (this->report->is_primary) {
            end.term = this->report->term;
        }
        return end;
    }

    bool may_forward() const {
        return this->job.forward &&
               (this->job.facts.kind == flow_request_kind::read ||
                this->job.facts.kind == flow_request_kind::statement_in_transaction);
    }

    void forward_if_large() {
        if (this->answer.rows.size() < forward_bytes || !this->may_forward()) {
            return;
        }
        if (!this->forwarded && this->is_stale()) {
            this->refused = true;
            this->stale = true;
            this->answer.clear();
            return;
        }
        std::string piece = std::exchange(this->answer.columns, {});
        if (!this->job.want_columns) {
            piece.clear();
        }
        piece += std::exchange(this->answer.rows, {});
        this->forwarded = true;
        this->answer.forwarded = true;
        if (!this->job.forward(piece)) {
            this->lease->link().set_paused(true);
        }
    }

    bool is_stale() {
        auto const& age = this->flow.facts().max_staleness;
        if (this->job.facts.kind != flow_request_kind::read || !age || !this->report) {
            return false;
        }
        auto const fresh =
            this->worker.view_of(this->job.facts.group).staleness_floor(*age, now());
        return !fresh || !covers(this->reached(), fresh->position);
    }

    void on_complete(std::size_t query, std::string_view tag) override {
        this->disarm_probe();
        if (this->running == phase::statement && query == this->statement_query) {
            this->answer.tag = tag;
        }
    }

    void on_error(std::size_t query, postgres::database_error const& failure) override {
        this->disarm_probe();
        if (this->error_query != no_query) {
            return; // The first error is the cause of those behind it.
        }
        this->error_query = query;
        this->answer.failure = failure;
    }

    void on_lost(std::string_view) override {
        this->lease->discard();
        this->lease.reset();
        this->connection_lost();
    }

    void connection_lost() {
        this->disarm_probe();
        this->running = phase::none;
        this->perform(this->flow.lost(this->forwarded, this->context()));
    }

    void on_finished(postgres::transaction_status status) override {
        this->disarm_probe();
        if (!this->done) {
            return;
        }
        this->lease->answered(status);
        this->status = status;
        switch (std::exchange(this->running, phase::none)) {
        case phase::statement:
            this->statement_finished();
            return;
        case phase::finish_ledger:
            this->ledger_finished();
            return;
        case phase::roll_back:
            this->rolled_back();
            return;
        case phase::look_up:
            this->looked_up();
            return;
        case phase::none:
            return;
        }
    }

    void statement_finished() {
        switch (this->job.facts.kind) {
        case flow_request_kind::read:
            this->read_finished();
            return;
        case flow_request_kind::statement_in_transaction:
            this->perform(this->flow.executed(log_position{}, this->context()));
            return;
        case flow_request_kind::begin:
            this->begin_finished();
            return;
        case flow_request_kind::write:
            if (this->job.ledger_id.empty()) {
                this->write_finished();
            } else {
                this->ledger_written();
            }
            return;
        case flow_request_kind::commit:
            this->commit_finished();
            return;
        }
    }

    void read_finished() {
        if (this->error_query == this->state_query && this->answer.failure) {
            this->answer.clear();
            this->perform(this->flow.below_floor(this->context()));
            return;
        }
        if (this->refused) {
            this->perform(
                std::exchange(this->stale, false)
                    ? this->flow.too_stale(this->context())
                    : this->flow.below_floor(this->context()));
            return;
        }
        if (!this->forwarded && !this->answer.failure && this->is_stale()) {
            this->perform(this->flow.too_stale(this->context()));
            return;
        }
        log_position const seen = this->flow.facts().floor.value_or(log_position{});
        this->perform(this->flow.executed(seen, this->context()));
    }

    void begin_finished() {
        bool const leads = this->report && this->report->is_primary &&
                           covers(this->reached(), *this->floor);
        if (!leads) {
            this->lease->discard(); // Inside a transaction that is not wanted here.
            this->lease.reset();
            this->perform(this->flow.not_primary(this->context()));
            return;
        }
        this->perform(this->flow.executed(*this->floor, this->context()));
    }

    bool was_refused_as_replica() const {
        return this->answer.failure && this->answer.failure->sqlstate == read_only_state;
    }

    void write_finished() {
        if (this->was_refused_as_replica()) {
            this->answer.clear();
            this->perform(this->flow.not_primary(this->context()));
            return;
        }
        if (this->answer.failure) {
            this->finish(std::nullopt); // The database refused it; nothing was written.
            return;
        }
        this->prove_report();
    }

    void prove_report() {
        if (!this->report || !this->report->is_primary) {
            this->perform(this->flow.proof_failed(this->context()));
            return;
        }
        this->perform(this->flow.executed(this->reached(), this->context()));
    }

    /// The statement ran inside the ledger's transaction; its answer is stored with it.
    void ledger_written() {
        if (this->answer.failure) {
            this->roll_back();
            return;
        }
        std::vector<upstream_query> batch;
        batch.push_back(ledger::store(this->job.ledger_id, ledger::pack(this->answer)));
        batch.push_back(make_query("COMMIT", true));
        this->add_state(batch);
        this->run(phase::finish_ledger, std::move(batch));
    }

    void ledger_finished() {
        if (this->answer.failure) {
            this->roll_back();
            return;
        }
        this->prove_report();
    }

    void roll_back() {
        this->failed_at_ledger = this->error_query == this->ledger_query;
        std::vector<upstream_query> batch;
        batch.push_back(make_query("ROLLBACK", true));
        postgres::database_error const cause = *this->answer.failure;
        this->run(phase::roll_back, std::move(batch));
        this->answer.failure = cause;
    }

    void rolled_back() {
        postgres::database_error const cause = *this->answer.failure;
        if (this->failed_at_ledger && cause.sqlstate == unique_violation) {
            this->answer.clear();
            this->look_up();
        } else if (cause.sqlstate == read_only_state) {
            this->answer.clear();
            this->perform(this->flow.not_primary(this->context()));
        } else if (this->failed_at_ledger && cause.sqlstate == undefined_table) {
            this->answer.clear();
            this->perform(
                this->flow.not_primary(this->context())); // Control makes the table.
        } else {
            this->finish(std::nullopt);
        }
    }

    void commit_finished() {
        bool const duplicate = this->answer.failure &&
                               this->answer.failure->sqlstate == unique_violation &&
                               this->error_query == this->ledger_query;
        if (duplicate) {
            // The transaction was committed before; this copy of it must go.
            this->lease->discard();
            this->lease.reset();
            this->perform(this->flow.lost(false, this->context()));
            return;
        }
        if (this->was_refused_as_replica()) {
            this->lease->discard();
            this->lease.reset();
            this->answer.clear();
            this->fail(error{
                "40001", "the primary was superseded; the transaction is rolled back"});
            return;
        }
        bool const kept = !this->answer.failure && this->answer.tag == "COMMIT";
        if (!kept) {
            this->finish(std::nullopt);
            return;
        }
        this->prove_report();
    }

    void confirm_durable(log_position position) {
        // The connection is free while the proof is on its way.
        this->drop_lease();
        this->worker.control.confirm_durable(
            this->job.facts.group, position, this->job.facts.deadline,
            [self = this->shared_from_this()](bool proven) {
                self->perform(
                    proven ? self->flow.proved(self->context())
                           : self->flow.proof_failed(self->context()));
            });
    }

    void look_up() {
        if (!this->lease) {
            this->perform(this->flow.lost(false, this->context()));
            return;
        }
        this->report.reset();
        this->ledger_entry.reset();
        std::vector<upstream_query> batch;
        batch.push_back(ledger::find(this->job.ledger_id));
        this->add_state(batch);
        this->run(phase::look_up, std::move(batch));
    }

    void looked_up() {
        if (!this->report || !this->report->is_primary || this->answer.failure) {
            this->answer.clear();
            this->perform(this->flow.proof_failed(this->context()));
            return;
        }
        if (!this->ledger_entry) {
            this->perform(this->flow.ledger_absent(this->context()));
            return;
        }
        if (this->ledger_entry->digest != this->job.ledger_digest) {
            this->drop_lease();
            this->fail(
                error{"22023", "request id was used before with another statement"});
            return;
        }
        this->stored = ledger::unpack(this->ledger_entry->answer);
        this->perform(this->flow.ledger_found(this->reached(), this->context()));
    }

    void wait(duration delay) {
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code failure) {
                if (!failure) {
                    self->perform(self->flow.timer(self->context()));
                }
            });
    }

    /// A connection that has said nothing for a while may have gone silent for good.
    void arm_probe() {
        this->silent_since = now();
        this->check_later();
    }

    void check_later() {
        this->timer.expires_after(
            std::min(superseded_check_interval, this->worker.settings.silence_probe));
        this->timer.async_wait([self = this->shared_from_this(), run = this->run_count](
                                   boost::system::error_code failure) {
            if (!failure && self->is_still(run)) {
                self->check_silence();
            }
        });
    }

    void check_silence() {
        if (this->is_superseded()) {
            this->give_up_connection();
        } else if (now() - this->silent_since >= this->worker.settings.silence_probe) {
            this->probe_silence();
        } else {
            this->check_later();
        }
    }

    /// True if waiting on this connection is pointless: the database no longer leads, or,
    /// for a read, does not answer control either.
    bool is_superseded() const {
        group_view const& view = this->worker.view_of(this->job.facts.group);
        std::size_t const index = this->lease->database();
        if (index >= view.databases.size()) {
            return true;
        }
        if (this->job.facts.kind == flow_request_kind::read) {
            return !view.databases[index].reachable;
        }
        return view.primary && *view.primary != index;
    }

    /// The answer has begun to come, or nothing is waited for.
    void disarm_probe() {
        this->silence.reset();
        this->timer.cancel();
    }

    /// True while the batch that was begun as number `run` has no answer yet.
    bool is_still(std::uint64_t run) const {
        return this->running != phase::none && this->run_count == run && this->lease;
    }

    void probe_silence() {
        this->worker.control.probe(
            this->job.facts.group, this->lease->database(),
            this->lease->link().backend_pid(),
            [self = this->shared_from_this(), run = this->run_count,
             question = this->silence.probe_epoch()](std::optional<bool> active) {
                if (self->is_still(run)) {
                    self->judge_silence(self->silence.answered(question, active));
                }
            });
    }

    void judge_silence(lost_response_verdict verdict) {
        switch (verdict) {
        case lost_response_verdict::give_up:
            this->give_up_connection();
            return;
        case lost_response_verdict::wait:
            this->arm_probe();
            return;
        case lost_response_verdict::response_received:
            return;
        }
    }

    void give_up_connection() {
        this->lease->give_up();
        this->lease.reset();
        this->connection_lost();
    }

    /// Pool and control answer by the same deadline, so that only what runs is cut here.
    /// A second round, after a grace, ends whatever may be left.
    void deadline_passed() {
        if (!this->done) {
            return;
        }
        if (now() >= this->job.facts.deadline + deadline_grace) {
            handler const last = this->done;
            this->abandon();
            statement_outcome outcome;
            outcome.refusal = error{
                "57014", "the request did not end by its deadline", effect::unknown};
            last(std::move(outcome));
            return;
        }
        this->arm_deadline(this->job.facts.deadline + deadline_grace);
        if (this->running != phase::none) {
            this->lease->link().cancel();
            this->give_up_connection();
        }
    }

    void succeed(log_position position) {
        std::optional<log_position> seen;
        if (position.term != 0) {
            seen = position;
        }
        this->finish(seen);
    }

    void fail(error failure) {
        statement_outcome outcome;
        outcome.refusal = std::move(failure);
        outcome.lease = std::move(this->lease);
        this->complete(std::move(outcome));
    }

    void finish(std::optional<log_position> position) {
        statement_outcome outcome;
        outcome.answer = std::move(this->answer);
        outcome.position = position;
        outcome.lease = std::move(this->lease);
        this->complete(std::move(outcome));
    }

    void complete(statement_outcome outcome) {
        this->timer.cancel();
        this->deadline_timer.cancel();
        if (outcome.lease && !outcome.lease->in_transaction()) {
            outcome.lease->release();
            outcome.lease.reset();
        }
        auto const handler = std::exchange(this->done, nullptr);
        handler(std::move(outcome));
    }

    void abandon() {
        this->done = nullptr;
        this->timer.cancel();
        this->deadline_timer.cancel();
        if (this->waiting_pool) {
            this->waiting_pool->give_up(this->ticket);
            this->waiting_pool.reset();
        }
        if (this->lease) {
            if (this->running != phase::none) {
                this->lease->link().cancel();
            }
            this->lease->discard();
            this->lease.reset();
        }
    }

    worker_context& worker;
    statement_job job;
    std::unique_ptr<connection_lease> lease;
    handler done;
    request_flow flow;
    asio::steady_timer timer;
    asio::steady_timer deadline_timer;
    std::vector<database_load> loads;
    std::shared_ptr<connection_pool> waiting_pool;
    std::uint64_t ticket = 0;

    phase running = phase::none;
    std::uint64_t run_count = 0;
    instant silent_since;
    lost_response_detector silence;
    std::size_t statement_query = no_query;
    std::size_t state_query = no_query;
    std::size_t ledger_query = no_query;
    std::size_t error_query = no_query;
    std::optional<log_position> floor;
    std::optional<database_report> report;
    std::optional<ledger::entry> ledger_entry;
    answer_buffer answer;
    answer_buffer stored;
    postgres::transaction_status status = postgres::transaction_status::idle;
    bool fresh_connection = false;
    bool refused = false;
    bool stale = false;
    bool forwarded = false;
    bool failed_at_ledger = false;
};

statement_runner::statement_runner(
    worker_context& worker,
    statement_job job,
    std::unique_ptr<connection_lease> lease,
    handler done)
    : impl(std::make_shared<implementation>(
          worker, std::move(job), std::move(lease), std::move(done))) {}

statement_runner::~statement_runner() = default;

void statement_runner::start() {
    this->impl->start();
}

void statement_runner::resume() {
    if (this->impl->lease) {
        this->impl->lease->link().set_paused(false);
    }
}

void statement_runner::cancel() {
    if (this->impl->lease && this->impl->running != implementation::phase::none) {
        this->impl->lease->link().cancel();
    }
}

void statement_runner::abandon() {
    this->impl->abandon();
}

} // namespace persimmonpoint::traffic
