#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <persimmonpoint/standin/session.hpp>

namespace persimmonpoint::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady_clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds heartbeat_interval{50};
constexpr std::size_t max_frame_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_parsed_texts = 10'000;

std::uint64_t to_unsigned(value const& text) {
    std::uint64_t number = 0;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

std::shared_ptr<table> make_system_table(std::vector<column_definition> columns) {
    auto out = std::make_shared<table>();
    out->columns = std::move(columns);
    return out;
}

} // namespace

database::implementation::implementation(asio::io_context& loop, database_options options)
    : loop(loop),
      options(std::move(options)),
      acceptor(loop),
      heartbeat(loop),
      replication(loop),
      pause_end(loop),
      heard_from_primary(steady_clock::now()) {}

void database::implementation::listen() {
    tcp::endpoint const endpoint(
        asio::ip::make_address(this->options.address), this->options.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->options.port = this->acceptor.local_endpoint().port();
    this->accept();
}

void database::implementation::accept() {
    auto self = this->shared_from_this();
    this->acceptor.async_accept(
        [this, self](boost::system::error_code failure, tcp::socket socket) {
            if (failure) {
                return;
            }
            auto channel =
                postgres::frame_channel::create(std::move(socket), max_frame_bytes);
            auto fresh =
                std::make_shared<session>(self, channel, this->next_session_id++);
            this->sessions.insert(fresh);
            this->when_running([channel, fresh] { channel->start(fresh); });
            this->accept();
        });
}

void database::implementation::schedule_heartbeat() {
    this->heartbeat.expires_after(heartbeat_interval);
    this->heartbeat.async_wait(
        [this, weak = this->weak_from_this()](boost::system::error_code failure) {
            auto const self = weak.lock();
            if (failure || !self) {
                return;
            }
            if (this->primary) {
                this->replicate();
            }
            this->schedule_heartbeat();
        });
}

parsed_text database::implementation::parse(std::string const& text) {
    auto const found = this->parsed.find(text);
    if (found != this->parsed.end()) {
        return found->second;
    }
    auto fresh =
        std::make_shared<result<std::vector<sql_statement>> const>(parse_sql(text));
    if (this->parsed.size() >= max_parsed_texts) {
        this->parsed.clear();
    }
    this->parsed.emplace(text, fresh);
    return fresh;
}

std::shared_ptr<table const>
database::implementation::system_table(std::string const& name) {
    if (name == "group_state") {
        return this->group_state();
    }
    if (name == "pg_stat_activity") {
        auto out = make_system_table(
            {{"pid", int8_oid},
             {"application_name", text_oid},
             {"state", text_oid},
             {"idle_ms", int8_oid}});
        for (auto const& each : this->sessions) {
            std::string const pid = std::to_string(each->id());
            char const* state = !each->is_idle()         ? "active"
                                : each->in_transaction() ? "idle in transaction"
                                                         : "idle";
            out->rows[pid] =
                row{pid, each->tag(), state, std::to_string(each->idle_time().count())};
        }
        return out;
    }
    return nullptr;
}

std::optional<result<value>> database::implementation::call(
    std::string const& function, std::span<value const> arguments) {
    if (function == "group_fence" && arguments.size() == 2) {
        bool const granted =
            this->grant_term(to_unsigned(arguments[0]), arguments[1].value_or(""));
        return result<value>(value(granted ? "granted" : "refused"));
    }
    if (function == "group_promote" && arguments.size() == 2) {
        bool const granted = to_unsigned(arguments[0]) == this->term &&
                             arguments[1].value_or("") == this->voted_for;
        if (granted && !this->primary) {
            this->primary = true;
            this->append({}); // The first entry of a term marks where it begins.
            this->replicate();
        }
        return result<value>(value(granted ? "granted" : "refused"));
    }
    if (function == "pg_terminate_backend" && arguments.size() == 1) {
        std::uint64_t const wanted = to_unsigned(arguments[0]);
        for (auto const& each : this->sessions) {
            if (each->id() == wanted) {
                asio::post(this->loop, [each] { each->terminate(); });
                return result<value>(value("t"));
            }
        }
        return result<value>(value("f"));
    }
    return std::nullopt;
}

std::shared_ptr<table const> database::implementation::group_state() {
    // Asked with every read: the table is made once and its row is kept up.
    if (!this->state_table) {
        this->state_table = make_system_table(
            {{"term", int8_oid},
             {"role", text_oid},
             {"log_term", int8_oid},
             {"log_offset", int8_oid},
             {"heard_ms", int8_oid}});
        this->state_table->rows["0"].resize(this->state_table->columns.size());
    }
    auto const heard = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - this->heard_from_primary);
    log_position const end = this->end_of_log();
    row& state = this->state_table->rows.begin()->second;
    state[0] = std::to_string(this->term);
    state[1] = this->primary ? "primary" : "replica";
    state[2] = std::to_string(end.term);
    state[3] = std::to_string(end.offset);
    state[4] = std::to_string(this->primary ? 0 : heard.count());
    return this->state_table;
}

bool database::implementation::commit(open_changes& changes) {
    if (changes.steps.empty()) {
        return true;
    }
    if (!this->primary) {
        return false;
    }
    this->append(std::exchange(changes.steps, {}));
    this->replicate();
    return true;
}

void database::implementation::append(std::vector<change> changes) {
    for (change const& each : changes) {
        this->tables.apply(each);
    }
    log_position const position{this->term, this->log.size() + 1};
    this->log.push_back(
        std::make_shared<log_entry const>(log_entry{position, std::move(changes)}));
}

void database::implementation::truncate_to(std::size_t length) {
    this->log.resize(length);
    this->tables.clear();
    for (auto const& entry : this->log) {
        for (change const& each : entry->changes) {
            this->tables.apply(each);
        }
    }
}

log_position database::implementation::end_of_log() const {
    return this->log.empty() ? log_position{} : this->log.back()->position;
}

void database::implementation::replicate() {
    if (this->replication_due) {
        return;
    }
    this->replication_due = true;
    this->replication.expires_after(this->options.replication_lag);
    this->replication.async_wait(
        [this, weak = this->weak_from_this()](boost::system::error_code failure) {
            auto const self = weak.lock();
            if (failure || !self) {
                return;
            }
            this->replication_due = false;
            for (implementation* peer : this->peers) {
                this->deliver_to(*peer);
            }
        });
}

bool database::implementation::reaches(implementation const& peer) const {
    bool const here = !this->dead && !this->cut_from_peers && !this->paused;
    return here && !peer.dead && !peer.cut_from_peers && !peer.paused;
}

void database::implementation::deliver_to(implementation& peer) {
    if (!this->primary || !this->reaches(peer)) {
        return;
    }
    if (peer.term > this->term) {
        this->term = peer.term;
        this->voted_for.clear();
        this->step_down();
        return;
    }
    peer.receive(*this);
}

void database::implementation::receive(implementation const& from) {
    if (from.term > this->term) {
        this->term = from.term;
        this->voted_for.clear();
    }
    this->step_down();
    this->heard_from_primary = steady_clock::now();
    std::size_t const shared = std::min(this->log.size(), from.log.size());
    std::size_t common = shared;
    while (common > 0 && this->log[common - 1] != from.log[common - 1]) {
        --common;
    }
    if (common < this->log.size()) {
        this->truncate_to(common);
    }
    for (std::size_t i = common; i < from.log.size(); ++i) {
        this->log.push_back(from.log[i]);
        for (change const& each : from.log[i]->changes) {
            this->tables.apply(each);
        }
    }
}

bool database::implementation::grant_term(
    std::uint64_t wanted, std::string const& candidate) {
    if (wanted == this->term && candidate == this->voted_for) {
        return true;
    }
    if (wanted <= this->term) {
        return false;
    }
    this->term = wanted;
    this->voted_for = candidate;
    this->step_down();
    return true;
}

void database::implementation::step_down() {
    if (this->primary) {
        this->primary = false;
        this->heard_from_primary = steady_clock::now();
    }
}

void database::implementation::with_slot(std::function<void()> job) {
    if (this->options.service_time.count() == 0) {
        job();
        return;
    }
    if (this->busy_slots >= this->options.slots) {
        this->slot_queue.push_back(std::move(job));
        return;
    }
    ++this->busy_slots;
    auto timer =
        std::make_shared<asio::steady_timer>(this->loop, this->options.service_time);
    timer->async_wait([this, self = this->shared_from_this(), timer,
                       job = std::move(job)](boost::system::error_code) {
        this->when_running(job);
        this->slot_freed();
    });
}

void database::implementation::slot_freed() {
    --this->busy_slots;
    if (!this->slot_queue.empty()) {
        auto next = std::move(this->slot_queue.front());
        this->slot_queue.pop_front();
        this->with_slot(std::move(next));
    }
}

void database::implementation::wait_for_release(std::function<void()> job) {
    this->release_queue.push_back(std::move(job));
}

void database::implementation::released(std::uint64_t owner) {
    this->locks.release_all(owner);
    auto waiting = std::exchange(this->release_queue, {});
    for (auto& job : waiting) {
        asio::post(this->loop, std::move(job));
    }
}

void database::implementation::when_running(std::function<void()> job) {
    if (this->paused) {
        this->held_jobs.push_back(std::move(job));
        return;
    }
    job();
}

database::database(asio::io_context& loop, database_options options)
    : impl(std::make_shared<implementation>(loop, std::move(options))) {
    this->impl->listen();
    this->impl->schedule_heartbeat();
}

database::~database() {
    this->die();
    this->impl->heartbeat.cancel();
    this->impl->replication.cancel();
    this->impl->pause_end.cancel();
    // What waits for an event that no longer comes holds the sessions, and those hold the
    // database.
    this->impl->sessions.clear();
    this->impl->held_jobs.clear();
    this->impl->release_queue.clear();
    this->impl->slot_queue.clear();
}

std::uint16_t database::port() const {
    return this->impl->options.port;
}
database_options const& database::options() const {
    return this->impl->options;
}

void database::set_peers(std::vector<database*> peers) {
    this->impl->peers.clear();
    for (database* peer : peers) {
        if (peer != this) {
            this->impl->peers.push_back(peer->impl.get());
        }
    }
}

void database::lead_first_term() {
    this->impl->term = 1;
    this->impl->primary = true;
    this->impl->append({});
    this->impl->replicate();
}

void database::die() {
    this->impl->dead = true;
    boost::system::error_code ignored;
    this->impl->acceptor.close(ignored);
    auto const open = this->impl->sessions;
    for (auto const& each : open) {
        each->terminate();
    }
}

void database::restart() {
    this->impl->dead = false;
    this->impl->heard_from_primary = steady_clock::now();
    this->impl->listen();
}

void database::set_cut_from_peers(bool cut) {
    this->impl->cut_from_peers = cut;
}

void database::set_cut_from_hosts(bool cut) {
    this->impl->cut_from_hosts = cut;
    if (!cut) {
        // What was swallowed is lost for good; the hosts find out by their timeouts.
        auto const open = this->impl->sessions;
        for (auto const& each : open) {
            each->silence();
        }
    }
}

void database::pause(milliseconds length) {
    this->impl->paused = true;
    for (auto const& each : this->impl->sessions) {
        each->hold();
    }
    this->impl->pause_end.expires_after(length);
    this->impl->pause_end.async_wait(
        [impl = this->impl](boost::system::error_code failure) {
            if (failure) {
                return;
            }
            impl->paused = false;
            auto const jobs = std::exchange(impl->held_jobs, {});
            for (auto const& job : jobs) {
                job();
            }
        });
}

void database::silence_open_connections() {
    for (auto const& each : this->impl->sessions) {
        each->silence();
    }
}

void database::set_replication_lag(microseconds lag) {
    for (implementation* peer : this->impl->peers) {
        peer->options.replication_lag = lag;
    }
    this->impl->options.replication_lag = lag;
}

void database::set_service_time(microseconds time) {
    this->impl->options.service_time = time;
}

bool database::is_primary() const {
    return this->impl->primary && !this->impl->dead;
}
log_position database::end_of_log() const {
    return this->impl->end_of_log();
}

std::span<std::shared_ptr<log_entry const> const> database::log() const {
    return this->impl->log;
}

std::size_t database::connection_count() const {
    return this->impl->sessions.size();
}
std::size_t database::peak_connection_count() const {
    return this->impl->peak_connections;
}

std::size_t database::open_transaction_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->impl->sessions, [](auto const& each) { return each->in_transaction(); }));
}

table const* database::find_table(std::string const& name) const {
    return this->impl->tables.find(name);
}

void database::watch_for(std::string text) {
    this->impl->watched_text = std::move(text);
}
bool database::has_seen_watched_text() const {
    return this->impl->watched_seen;
}

} // namespace persimmonpoint::standin
