#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/endian/conversion.hpp>
#include <persimmonpoint/standin/session.hpp>

namespace persimmonpoint::standin {

namespace asio = boost::asio;
using steady_clock = std::chrono::steady_clock;

namespace {

/// A row that stays locked for longer ends the waiting statement.
constexpr milliseconds lock_timeout{2000};

template <class Int>
std::string load_integer(std::string_view bytes) {
    return std::to_string(
        boost::endian::endian_load<Int, sizeof(Int), boost::endian::order::big>(
            reinterpret_cast<unsigned char const*>(bytes.data())));
}

/// Text form of a binary parameter. Types the stand-in doesn't know stay as they are.
std::string from_binary(std::string_view bytes, std::uint32_t type) {
    bool const integer = type == int4_oid || type == int8_oid || type == 0;
    if (integer && bytes.size() == sizeof(std::int32_t)) {
        return load_integer<std::int32_t>(bytes);
    }
    if (integer && bytes.size() == sizeof(std::int64_t)) {
        return load_integer<std::int64_t>(bytes);
    }
    if (type == bool_oid && bytes.size() == 1) {
        return bytes[0] != '\0' ? "t" : "f";
    }
    return std::string(bytes);
}

template <class Int>
std::string store_integer(std::string const& text) {
    std::string out(sizeof(Int), '\0');
    boost::endian::endian_store<Int, sizeof(Int), boost::endian::order::big>(
        reinterpret_cast<unsigned char*>(out.data()), static_cast<Int>(std::stoll(text)));
    return out;
}

std::string to_binary(std::string const& text, std::uint32_t type) {
    if (type == int4_oid) {
        return store_integer<std::int32_t>(text);
    }
    if (type == int8_oid) {
        return store_integer<std::int64_t>(text);
    }
    if (type == bool_oid) {
        return std::string(1, text == "t" ? '\1' : '\0');
    }
    return text;
}

std::int16_t format_at(std::span<std::int16_t const> formats, std::size_t index) {
    if (formats.empty()) {
        return 0;
    }
    return formats.size() == 1 ? formats[0]
                               : formats[std::min(index, formats.size() - 1)];
}

} // namespace

session::session(
    std::shared_ptr<database::implementation> owner,
    std::shared_ptr<postgres::frame_channel> channel,
    std::uint64_t id)
    : owner(std::move(owner)),
      channel(std::move(channel)),
      session_id(id),
      writer(this->output),
      timer(this->owner->loop),
      outbox_timer(this->owner->loop),
      last_activity(steady_clock::now()) {}

void session::on_message(postgres::frontend_message const& message) {
    if (this->silent || this->owner->cut_from_hosts) {
        return;
    }
    this->last_activity = steady_clock::now();
    std::visit([this](auto const& each) { this->handle(each); }, message);
}

void session::on_bad_frame(error const& failure) {
    this->writer.plain_error(failure.sqlstate, failure.message);
    this->send();
    this->channel->close_after_flush();
}

void session::on_closed() {
    this->closed = true;
    this->timer.cancel();
    this->outbox_timer.cancel();
    if (this->silent) {
        return; // Nobody tells the database; its side of the connection stays open.
    }
    this->drop_transaction();
    this->owner->sessions.erase(this->shared_from_this());
}

bool session::in_transaction() const {
    return this->transaction == transaction_state::open ||
           this->transaction == transaction_state::failed;
}

std::chrono::milliseconds session::idle_time() const {
    return std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - this->last_activity);
}

void session::terminate() {
    this->silent = false;
    if (this->closed) {
        this->drop_transaction();
        this->owner->sessions.erase(this->shared_from_this());
        return;
    }
    this->channel->close();
}

void session::look_for_watched(std::string_view text) {
    std::string const& watched = this->owner->watched_text;
    if (!watched.empty() && text.find(watched) != std::string_view::npos) {
        this->owner->watched_seen = true;
    }
}

void session::handle(postgres::startup_message const& startup) {
    for (auto const& [name, content] : startup.parameters) {
        this->look_for_watched(content);
    }
    this->application_name = startup.parameter("application_name");
    this->channel->set_phase(postgres::decoder_phase::regular);
    std::size_t const limit = this->owner->options.connections;
    this->owner->peak_connections =
        std::max(this->owner->peak_connections, this->owner->sessions.size());
    if (this->owner->sessions.size() > limit) {
        this->writer.plain_error("53300", "too many connections");
        this->channel->send(this->output);
        this->channel->close_after_flush();
        return;
    }
    if (startup.parameter("user") != this->owner->options.user) {
        this->writer.plain_error("28000", "role does not exist");
        this->channel->send(this->output);
        this->channel->close_after_flush();
        return;
    }
    this->writer.authentication_cleartext();
    this->send();
}

void session::handle(postgres::password_message const& message) {
    this->look_for_watched(message.password);
    if (message.password != this->owner->options.password) {
        this->writer.plain_error("28P01", "password authentication failed");
        this->channel->send(this->output);
        this->channel->close_after_flush();
        return;
    }
    this->channel->pause();
    this->timer.expires_after(this->owner->options.connect_time);
    this->timer.async_wait([self = this->shared_from_this()](
                               boost::system::error_code failure) {
        if (failure || self->closed) {
            return;
        }
        self->authenticated = true;
        self->writer.authentication_ok();
        self->writer.parameter_status("server_version", "15.0");
        self->writer.parameter_status("server_encoding", "UTF8");
        self->writer.parameter_status("client_encoding", "UTF8");
        self->writer.parameter_status("DateStyle", "ISO, MDY");
        self->writer.parameter_status("integer_datetimes", "on");
        self->writer.parameter_status("standard_conforming_strings", "on");
        self->writer.backend_key_data(static_cast<std::uint32_t>(self->session_id), 1);
        self->ready();
        self->release();
    });
}

template <class Other>
void session::handle(Other const& message) {
    using postgres::flush_message;
    if constexpr (std::is_same_v<Other, postgres::terminate_message>) {
        this->channel->close();
    } else if constexpr (std::is_same_v<Other, flush_message>) {
        this->send();
    } else if constexpr (
        std::is_same_v<Other, postgres::ssl_request> ||
        std::is_same_v<Other, postgres::gss_request>) {
        this->channel->reject_encryption();
    } else {
        this->fail(error{"0A000", "message is not in the stand-in's subset"});
    }
    (void)message;
}

void session::handle(postgres::cancel_request const&) {
    this->channel->close();
}

void session::handle(postgres::query_message const& message) {
    std::string const text(message.text);
    this->look_for_watched(text);
    parsed_text const parsed = this->owner->parse(text);
    if (!*parsed) {
        this->fail(parsed->error());
        this->ready();
        return;
    }
    if (parsed->value().empty()) {
        this->writer.empty_query();
        this->ready();
        return;
    }
    this->begin_work();
    auto const list =
        std::shared_ptr<std::vector<sql_statement> const>(parsed, &parsed->value());
    this->run_list(list, 0);
}

void session::run_list(
    std::shared_ptr<std::vector<sql_statement> const> list, std::size_t at) {
    if (at == list->size()) {
        this->end_statement();
        this->ready();
        this->end_work();
        return;
    }
    this->run_one(
        (*list)[at], {},
        [this, self = this->shared_from_this(), list, at](execution outcome) {
            if (auto const* failure = std::get_if<error>(&outcome)) {
                this->fail(*failure);
                this->skipping_to_sync = false;
                this->end_implicit();
                this->ready();
                this->end_work();
                return;
            }
            auto const& done = std::get<answer>(outcome);
            this->write_answer(done, {}, false, 0, done.rows.size());
            this->run_list(list, at + 1);
        });
}

void session::handle(postgres::parse_message const& message) {
    if (this->skipping_to_sync) {
        return;
    }
    std::string const text(message.text);
    this->look_for_watched(text);
    parsed_text const parsed = this->owner->parse(text);
    if (!*parsed) {
        this->fail(parsed->error());
        return;
    }
    if (parsed->value().size() > 1) {
        this->fail(
            error{"42601", "cannot insert multiple commands into a prepared statement"});
        return;
    }
    this->statements[std::string(message.statement)] =
        prepared{parsed, message.parameter_types};
    this->writer.parse_complete();
}

void session::handle(postgres::bind_message const& message) {
    if (this->skipping_to_sync) {
        return;
    }
    auto const found = this->statements.find(message.statement);
    if (found == this->statements.end()) {
        this->fail(error{"26000", "prepared statement does not exist"});
        return;
    }
    portal fresh;
    fresh.source = found->second;
    fresh.result_formats = message.result_formats;
    for (std::size_t i = 0; i < message.parameters.size(); ++i) {
        auto const& bytes = message.parameters[i];
        if (!bytes) {
            fresh.parameters.emplace_back(std::nullopt);
            continue;
        }
        this->look_for_watched(*bytes);
        std::uint32_t const type =
            i < found->second.types.size() ? found->second.types[i] : 0;
        bool const binary = format_at(message.parameter_formats, i) == 1;
        fresh.parameters.emplace_back(
            binary ? from_binary(*bytes, type) : std::string(*bytes));
    }
    this->portals[std::string(message.portal)] = std::move(fresh);
    this->writer.bind_complete();
}

void session::handle(postgres::describe_message const& message) {
    if (this->skipping_to_sync) {
        return;
    }
    bool const is_statement = message.kind == postgres::target_kind::statement;
    prepared source;
    std::vector<std::int16_t> formats;
    if (is_statement) {
        auto const found = this->statements.find(message.name);
        if (found == this->statements.end()) {
            this->fail(error{"26000", "prepared statement does not exist"});
            return;
        }
        source = found->second;
    } else {
        auto const found = this->portals.find(message.name);
        if (found == this->portals.end()) {
            this->fail(error{"34000", "portal does not exist"});
            return;
        }
        source = found->second.source;
        formats = found->second.result_formats;
    }
    auto const& list = source.parsed->value();
    if (is_statement) {
        std::vector<std::uint32_t> types = source.types;
        types.resize(
            list.empty() ? 0 : std::max(types.size(), list[0].parameter_count), 0);
        std::ranges::replace(types, std::uint32_t{0}, text_oid);
        this->writer.parameter_description(types);
    }
    if (list.empty() || list[0].outputs.empty()) {
        this->writer.no_data();
        return;
    }
    auto const columns = standin::describe(list[0], this->access());
    if (!columns) {
        this->fail(columns.error());
        return;
    }
    this->write_columns(columns.value(), formats);
}

void session::handle(postgres::execute_message const& message) {
    if (this->skipping_to_sync) {
        return;
    }
    auto const found = this->portals.find(message.portal);
    if (found == this->portals.end()) {
        this->fail(error{"34000", "portal does not exist"});
        return;
    }
    portal& open = found->second;
    auto const& list = open.source.parsed->value();
    if (list.empty()) {
        this->writer.empty_query();
        return;
    }
    std::size_t const limit = message.row_limit > 0
                                  ? static_cast<std::size_t>(message.row_limit)
                                  : std::string::npos;
    if (open.pending) {
        std::size_t const left = open.pending->rows.size() - open.next_row;
        std::size_t const first = open.next_row;
        open.next_row += std::min(limit, left);
        this->write_answer(*open.pending, open.result_formats, true, first, limit);
        return;
    }
    this->begin_work();
    auto const keep = open.source.parsed;
    this->run_one(
        list[0], open.parameters,
        [this, self = this->shared_from_this(), keep, limit,
         name = std::string(message.portal)](execution outcome) {
            if (auto const* failure = std::get_if<error>(&outcome)) {
                this->fail(*failure);
            } else {
                auto& done = std::get<answer>(outcome);
                auto const where = this->portals.find(name);
                std::vector<std::int16_t> const formats =
                    where == this->portals.end() ? std::vector<std::int16_t>()
                                                 : where->second.result_formats;
                this->write_answer(done, formats, true, 0, limit);
                if (where != this->portals.end()) {
                    where->second.next_row = std::min(limit, done.rows.size());
                    where->second.pending = std::move(done);
                }
            }
            this->end_work();
        });
}

void session::handle(postgres::close_message const& message) {
    if (this->skipping_to_sync) {
        return;
    }
    if (message.kind == postgres::target_kind::statement) {
        auto const found = this->statements.find(message.name);
        if (found != this->statements.end()) {
            this->statements.erase(found);
        }
    } else {
        auto const found = this->portals.find(message.name);
        if (found != this->portals.end()) {
            this->portals.erase(found);
        }
    }
    this->writer.close_complete();
}

void session::handle(postgres::sync_message const&) {
    this->skipping_to_sync = false;
    this->end_statement();
    if (this->transaction == transaction_state::none) {
        this->portals.clear();
    }
    this->ready();
}

void session::run_one(
    sql_statement const& statement,
    std::vector<value> parameters,
    std::function<void(execution)> then) {
    auto shared = std::make_shared<std::vector<value>>(std::move(parameters));
    this->owner->with_slot([this, self = this->shared_from_this(), &statement, shared,
                            then = std::move(then)] {
        this->attempt(statement, shared, then, steady_clock::now() + lock_timeout);
    });
}

void session::attempt(
    sql_statement const& statement,
    std::shared_ptr<std::vector<value>> parameters,
    std::function<void(execution)> then,
    steady_clock::time_point deadline) {
    if (this->closed && !this->silent) {
        return;
    }
    bool const data =
        statement.kind == sql_kind::select || statement.kind == sql_kind::insert ||
        statement.kind == sql_kind::update || statement.kind == sql_kind::remove ||
        statement.kind == sql_kind::create_table;
    if (!data) {
        then(this->run_control(statement));
        return;
    }
    if (this->transaction == transaction_state::failed) {
        then(error{"25P02", "current transaction is aborted"});
        return;
    }
    bool const changes_data = statement.kind != sql_kind::select || statement.for_update;
    if (changes_data && !this->owner->primary) {
        then(error{"25006", "cannot execute a write on a replica"});
        return;
    }
    if (this->transaction == transaction_state::none) {
        this->transaction = transaction_state::implicit;
    }
    execution outcome = execute(statement, *parameters, this->access());
    if (std::holds_alternative<blocked>(outcome)) {
        if (steady_clock::now() > deadline) {
            then(error{"55P03", "canceling statement due to lock timeout"});
            return;
        }
        auto again = [this, self = this->shared_from_this(), &statement, parameters, then,
                      deadline] { this->attempt(statement, parameters, then, deadline); };
        auto watchdog = std::make_shared<asio::steady_timer>(this->owner->loop, deadline);
        auto once = std::make_shared<bool>(false);
        auto const run_once = [once, again, watchdog] {
            if (!std::exchange(*once, true)) {
                watchdog->cancel();
                again();
            }
        };
        this->owner->wait_for_release(run_once);
        watchdog->async_wait([run_once](boost::system::error_code) { run_once(); });
        return;
    }
    then(std::move(outcome));
}

execution session::run_control(sql_statement const& statement) {
    answer done;
    switch (statement.kind) {
    case sql_kind::begin:
        this->end_implicit();
        this->transaction = transaction_state::open;
        done.tag = "BEGIN";
        return done;
    case sql_kind::commit:
        return this->finish_transaction(true);
    case sql_kind::rollback:
        return this->finish_transaction(false);
    case sql_kind::set:
        done.tag = "SET";
        return done;
    case sql_kind::discard:
        if (this->transaction == transaction_state::open) {
            return error{"25001", "DISCARD ALL cannot run inside a transaction block"};
        }
        this->statements.clear();
        this->portals.clear();
        done.tag = "DISCARD ALL";
        return done;
    case sql_kind::show:
        done.columns = {output_column{statement.parameter, text_oid}};
        done.rows = {row{value("")}};
        done.returns_rows = true;
        done.tag = "SHOW";
        return done;
    default:
        return error{"0A000", "statement is not in the stand-in's subset"};
    }
}

execution session::finish_transaction(bool keep) {
    answer done;
    bool const wanted = keep && this->transaction != transaction_state::failed;
    done.tag = wanted ? "COMMIT" : "ROLLBACK";
    if (wanted && !this->owner->commit(this->changes)) {
        this->drop_transaction();
        return error{"25006", "cannot commit: this database is not the primary any more"};
    }
    this->drop_transaction();
    return done;
}

bool session::end_implicit() {
    if (this->transaction != transaction_state::implicit) {
        return true;
    }
    bool const kept = this->owner->commit(this->changes);
    this->drop_transaction();
    return kept;
}

void session::end_statement() {
    if (!this->end_implicit()) {
        this->writer.plain_error(
            "25006", "cannot commit: this database is not the primary any more");
    }
}

void session::drop_transaction() {
    this->changes = open_changes{};
    this->transaction = transaction_state::none;
    this->owner->released(this->session_id);
}

void session::fail(error const& failure) {
    this->writer.plain_error(failure.sqlstate, failure.message);
    this->skipping_to_sync = true;
    if (this->transaction == transaction_state::open) {
        this->transaction = transaction_state::failed;
        this->changes = open_changes{};
        this->owner->released(this->session_id);
    } else if (this->transaction == transaction_state::implicit) {
        this->drop_transaction();
    }
}

void session::ready() {
    using status = postgres::transaction_status;
    status const now = this->transaction == transaction_state::open     ? status::open
                       : this->transaction == transaction_state::failed ? status::failed
                                                                        : status::idle;
    this->writer.ready_for_query(now);
    this->send();
}

void session::write_columns(
    std::vector<output_column> const& columns, std::span<std::int16_t const> formats) {
    std::vector<postgres::column> out;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        postgres::column each;
        each.name = columns[i].name;
        each.type_oid = columns[i].type;
        each.format = format_at(formats, i);
        out.push_back(std::move(each));
    }
    this->writer.row_description(out);
}

void session::write_answer(
    answer const& result,
    std::span<std::int16_t const> formats,
    bool described,
    std::size_t first,
    std::size_t count) {
    if (result.returns_rows && !described) {
        this->write_columns(result.columns, formats);
    }
    std::size_t const left = result.rows.size() - first;
    std::size_t const last = first + std::min(count, left);
    for (std::size_t i = first; i < last; ++i) {
        std::vector<std::string> converted(result.rows[i].size());
        std::vector<postgres::field> fields;
        for (std::size_t k = 0; k < result.rows[i].size(); ++k) {
            value const& each = result.rows[i][k];
            if (!each) {
                fields.emplace_back(std::nullopt);
                continue;
            }
            bool const binary = format_at(formats, k) == 1;
            converted[k] = binary ? to_binary(*each, result.columns[k].type) : *each;
            fields.emplace_back(converted[k]);
        }
        this->writer.data_row(fields);
    }
    if (last < result.rows.size()) {
        this->writer.portal_suspended();
    } else {
        this->writer.command_complete(result.tag);
    }
}

void session::send() {
    if (this->silent || this->owner->cut_from_hosts) {
        this->output.clear();
        return;
    }
    microseconds const delay = this->owner->options.round_trip;
    if (delay.count() == 0) {
        this->channel->send(this->output);
        this->output.clear();
        return;
    }
    this->outbox.emplace_back(
        steady_clock::now() + delay, std::exchange(this->output, {}));
    if (this->outbox_armed) {
        return;
    }
    this->outbox_armed = true;
    auto deliver = std::make_shared<std::function<void()>>();
    std::weak_ptr<std::function<void()>> const weak = deliver;
    *deliver = [this, weak] {
        auto const again = weak.lock();
        if (this->outbox.empty() || !again) {
            this->outbox_armed = false;
            return;
        }
        this->outbox_timer.expires_at(this->outbox.front().first);
        this->outbox_timer.async_wait([this, self = this->shared_from_this(),
                                       again](boost::system::error_code failure) {
            if (failure || this->closed) {
                return;
            }
            this->channel->send(this->outbox.front().second);
            this->outbox.pop_front();
            (*again)();
        });
    };
    (*deliver)();
}

void session::begin_work() {
    this->busy = true;
    this->channel->pause();
}

void session::end_work() {
    this->busy = false;
    this->last_activity = steady_clock::now();
    this->release();
}

void session::release() {
    if (this->owner->paused) {
        this->owner->held_jobs.push_back(
            [self = this->shared_from_this()] { self->release(); });
        return;
    }
    this->channel->resume();
}

void session::hold() {
    if (!this->busy) {
        this->channel->pause();
        this->owner->held_jobs.push_back(
            [self = this->shared_from_this()] { self->release(); });
    }
}

data_access session::access() {
    return data_access{
        this->owner->tables, this->changes, this->owner->locks, this->session_id,
        *this->owner};
}

} // namespace persimmonpoint::standin
