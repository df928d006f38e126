#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <optional>
#include <persimmonpoint/net/read_loop.hpp>
#include <persimmonpoint/net/send_queue.hpp>
#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <persimmonpoint/standin/line_group.hpp>
#include <set>
#include <utility>

namespace persimmonpoint::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using platform::take_word;

namespace {

struct log_entry {
    std::uint64_t term = 0;
    std::vector<std::pair<std::string, std::string>> writes;
};

using shared_log = std::vector<std::shared_ptr<log_entry const>>;
using entry_set = std::set<std::shared_ptr<log_entry const>>;

/// The item's newest data; null if the log has none.
std::string const* newest(shared_log const& log, std::string_view item) {
    for (auto entry = log.rbegin(); entry != log.rend(); ++entry) {
        auto const& writes = (*entry)->writes;
        auto const found =
            std::find_if(writes.rbegin(), writes.rend(), [item](auto const& each) {
                return each.first == item;
            });
        if (found != writes.rend()) {
            return &found->second;
        }
    }
    return nullptr;
}

/// Brings a copy up to its primary's log: what the primary lacks is dropped, what the
/// copy lacks is added.
void follow(shared_log& copy, shared_log const& primary) {
    while (!copy.empty() &&
           (copy.size() > primary.size() || copy.back() != primary[copy.size() - 1])) {
        copy.pop_back();
    }
    copy.insert(
        copy.end(), primary.begin() + static_cast<std::ptrdiff_t>(copy.size()),
        primary.end());
}

/// Of `entries`, those that the log has.
std::size_t count_of(entry_set const& entries, shared_log const& log) {
    return static_cast<std::size_t>(
        std::count_if(log.begin(), log.end(), [&entries](auto const& each) {
            return entries.count(each) > 0;
        }));
}

class session;

/// One database of the group.
struct member {
    std::string id;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::uint16_t port = 0;
    shared_log log;
    std::uint64_t held_term = 0;
    bool alive = true;
    std::size_t deaths = 0;
    bool deaf = false;
    bool isolated = false;
    bool silent = false;
    std::set<std::string> cut_from; ///< The other side need not say so.
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds order_delay{0};
    std::size_t orders = 0; ///< Since the delay of orders was set.
    bool lose_write = false;
    bool lose_read = false;
    std::set<std::shared_ptr<session>> sessions;
};

/// A commit that waits for its first copy.
struct waiting_commit {
    std::uint64_t number = 0;
    /// Answers; false if it couldn't.
    std::function<bool()> answer;
};

} // namespace

struct line_group::implementation
    : std::enable_shared_from_this<line_group::implementation> {
    implementation(asio::io_context& loop, std::string name)
        : loop(loop), name(std::move(name)) {}

    member& add();
    void accept(member& on);
    void deliver();
    void lead(member& next);
    void check_promotion(member const& next);
    void note_dropped(member const& next);

    bool is_cut(member const& copy) const {
        return copy.cut_from.count(this->primary->id) > 0 ||
               this->primary->cut_from.count(copy.id) > 0;
    }

    bool receives(member const& copy) const {
        bool const linked = !copy.deaf && !copy.isolated && !this->primary->isolated &&
                            !this->is_cut(copy);
        return linked && copy.alive && copy.held_term == 0 && this->primary->alive &&
               !this->stopped;
    }

    /// Whether a copy has the primary's log up to this number.
    bool has(member const& copy, std::uint64_t number) const {
        return number == 0 || (copy.log.size() >= number &&
                               copy.log[number - 1] == this->primary->log[number - 1]);
    }

    log_position position(member const& of) const {
        std::uint64_t const last_number = this->primary->log.size();
        bool const has_all = of.log.size() == last_number && this->has(of, last_number) &&
                             !of.deaf && !this->is_cut(of);
        std::uint64_t const last = of.log.empty() ? 1 : of.log.back()->term;
        return {has_all ? this->current_term : last, of.log.size()};
    }

    void commit(
        std::vector<std::pair<std::string, std::string>> writes,
        std::function<bool()> answer) {
        this->primary->log.push_back(std::make_shared<log_entry const>(
            log_entry{this->current_term, std::move(writes)}));
        this->committed.insert(this->primary->log.back());
        this->commits.push_back({this->primary->log.size(), std::move(answer)});
        this->deliver();
    }

    member& at(std::string const& id) { return *this->members.at(id); }

    asio::io_context& loop;
    std::string name;
    std::map<std::string, std::unique_ptr<member>> members;
    member* primary = nullptr;
    std::uint64_t current_term = 1;
    bool stopped = false; ///< The primary gave up its lead, and nobody leads yet.
    std::list<waiting_commit> commits;
    entry_set committed;    ///< But for those that a promotion dropped.
    entry_set acknowledged; ///< But for those that a promotion dropped.
    std::vector<lossy_promotion> lossy;
    std::vector<dropped_write> dropped;
    std::chrono::milliseconds promotion_delay{0};
    std::function<void()> promotion_hook;
    order_hook on_order;
    std::map<std::string, std::size_t> teams;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> runs;
    std::vector<ran_statement> ran;
    std::uint64_t signatures = 0;
};

namespace {

constexpr std::size_t read_bytes = 4096;

class session : public std::enable_shared_from_this<session> {
public:
    session(line_group::implementation& group, member& home, tcp::socket given)
        : group(group),
          home(home),
          socket(std::move(given)),
          incoming(
              this->socket,
              read_bytes,
              [this](std::string_view bytes) { return this->take(bytes); },
              [this] { this->shut(); }),
          outgoing(this->socket, [](bool) {}) {}

    void read() { this->incoming.start(this->shared_from_this()); }

    void shut() {
        if (std::exchange(this->closed, true)) {
            return;
        }
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->home.sessions.erase(this->shared_from_this());
    }

private:
    bool leads() const {
        return this->group.primary == &this->home && !this->group.stopped;
    }

    bool take(std::string_view bytes) {
        this->lines.add(bytes);
        this->take_lines();
        return !this->closed;
    }

    void take_lines() {
        while (!this->closed && !this->busy) {
            auto const line = this->lines.next();
            if (!line) {
                return;
            }
            this->take_line(*line);
        }
    }

    void take_line(std::string_view line) {
        std::string_view rest = line;
        std::string_view const word = take_word(rest);
        if (this->home.silent) {
            return;
        }
        if (word == "START") {
            this->start(rest);
        } else if (word == "QUERY" && this->home.delay.count() > 0) {
            this->query_later(std::string(rest));
        } else if (word == "QUERY") {
            this->id = take_word(rest);
            this->query(rest);
        } else {
            this->shut();
        }
    }

    void query_later(std::string rest) {
        this->busy = true;
        auto const timer =
            std::make_shared<asio::steady_timer>(this->group.loop, this->home.delay);
        timer->async_wait([self = this->shared_from_this(), timer,
                           rest = std::move(rest)](boost::system::error_code) {
            if (self->closed) {
                return;
            }
            self->busy = false;
            std::string_view text = rest;
            self->id = take_word(text);
            self->query(text);
            self->take_lines();
        });
    }

    void start(std::string_view rest) {
        std::string_view const service = take_word(rest);
        this->team = take_word(rest);
        if (service != this->group.name || rest != this->home.id) {
            this->send("ERROR MISROUTED " + this->home.id + "\r\n");
            return;
        }
        ++this->group.teams[this->team];
        this->ready();
    }

    void query(std::string_view text) {
        std::optional<log_position> floor;
        std::string_view rest = text;
        if (rest.rfind("AFTER ", 0) == 0) {
            take_word(rest);
            floor = platform::parse_position(take_word(rest));
        }
        if (floor && this->group.position(this->home) < *floor) {
            this->fail("LAGGING");
            return;
        }
        std::string_view arguments = rest;
        std::string const word(take_word(arguments));
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
            this->control(word, arguments);
        } else if (word == "BEGIN") {
            this->begin(arguments == "READ");
        } else if (word == "ROLLBACK") {
            this->end();
            this->complete("-");
        } else if (word == "COMMIT") {
            this->commit_as_asked(rest);
        } else if (word == "SET") {
            this->set(arguments);
        } else if (word == "RESET") {
            this->values = std::make_shared<line_group::session_values>();
            this->prepared.clear();
            this->complete("-");
        } else if (word == "PREPARE") {
            this->prepare(arguments);
        } else if (word == "DEALLOCATE") {
            this->deallocate(arguments);
        } else if (word == "EXECUTE") {
            this->execute(rest, arguments);
        } else if (word == "READ" || word == "WRITE") {
            this->run({this->id, std::string(rest)}, word == "WRITE", arguments);
        } else {
            this->fail("MALFORMED");
        }
    }

    /// What ran before keeps the values that were in force.
    void set(std::string_view arguments) {
        auto changed = std::make_shared<line_group::session_values>(*this->values);
        std::string const name(take_word(arguments));
        (*changed)[name] = arguments;
        this->values = std::move(changed);
        this->complete("-");
    }

    void prepare(std::string_view arguments) {
        std::string const name(take_word(arguments));
        std::string_view const access = take_word(arguments);
        if (access != "READ" && access != "WRITE") {
            this->fail("MALFORMED");
            return;
        }
        this->prepared[name] = {access == "WRITE", std::string(arguments)};
        this->complete("-");
    }

    void deallocate(std::string_view name) {
        if (this->prepared.erase(std::string(name)) == 0) {
            this->fail("UNKNOWN");
            return;
        }
        this->complete("-");
    }

    void execute(std::string_view text, std::string_view arguments) {
        auto const found = this->prepared.find(std::string(take_word(arguments)));
        if (found == this->prepared.end()) {
            this->fail("UNKNOWN");
            return;
        }
        line_group::ran_statement statement{this->id, std::string(text)};
        statement.prepared = found->second;
        statement.arguments = arguments;
        this->run(std::move(statement), found->second.writes, arguments);
    }

    void note_run(line_group::ran_statement statement) {
        statement.database = this->home.id;
        statement.team = this->team;
        statement.values = this->values;
        this->group.ran.push_back(std::move(statement));
    }

    void control(std::string const& word, std::string_view arguments) {
        bool const late =
            this->home.order_delay.count() > 0 && this->home.orders++ % 2 == 0;
        if (late) {
            this->carry_out_later(word, std::string(arguments));
            return;
        }
        this->carry_out(word, arguments);
        this->report_state();
    }

    /// The connection stays open and carries nothing any more.
    void carry_out_later(std::string word, std::string arguments) {
        this->busy = true;
        auto const timer = std::make_shared<asio::steady_timer>(
            this->group.loop, this->home.order_delay);
        timer->async_wait([self = this->shared_from_this(),
                           group = this->group.shared_from_this(), timer,
                           deaths = this->home.deaths, word = std::move(word),
                           arguments = std::move(arguments)](boost::system::error_code) {
            if (self->home.deaths == deaths) {
                self->carry_out(word, arguments);
            }
        });
    }

    /// The platform's pages: PAUSE stops a replica from receiving. It holds nothing at a
    /// primary, which receives nothing.
    void carry_out(std::string const& word, std::string_view arguments) {
        if (word == "PAUSE" && !this->leads()) {
            this->home.held_term = std::stoull(std::string(arguments));
        } else if (word == "DEMOTE" && this->leads()) {
            this->demote(std::stoull(std::string(arguments)));
        } else if (word == "RESUME") {
            this->home.held_term = 0;
            this->group.deliver();
        }
        if (word != "STATUS" && this->group.on_order) {
            this->group.on_order(this->home.id, word + " " + std::string(arguments));
        }
    }

    void report_state() {
        std::string const role = this->leads() ? "primary" : "replica";
        this->send(
            "ROW " + role + " " + std::to_string(this->group.current_term) + " " +
            platform::format_position(this->group.position(this->home)) + " " +
            std::to_string(this->home.held_term) + " 0 0 1\r\n");
        this->complete("-");
    }

    void demote(std::uint64_t term) {
        if (term > this->group.current_term) {
            this->group.stopped = true;
            this->group.commits.clear();
        }
    }

    void begin(bool only_reads) {
        if (!only_reads && !this->leads()) {
            this->fail("READONLY");
            return;
        }
        this->open = true;
        this->plain = !only_reads;
        this->complete("-");
    }

    void
    run(line_group::ran_statement statement, bool writes, std::string_view arguments) {
        bool const lost_lead = !this->leads() && (writes || (this->open && this->plain));
        if (lost_lead) {
            this->broken = this->open;
            this->fail("READONLY");
            return;
        }
        this->group.runs[this->team].push_back(std::chrono::steady_clock::now());
        this->note_run(std::move(statement));
        std::string const item(take_word(arguments));
        if (!writes) {
            this->read_item(item);
            return;
        }
        this->writes.emplace_back(item, std::string(arguments));
        if (this->open) {
            this->complete(this->signature());
        } else {
            this->commit();
        }
    }

    void commit_as_asked(std::string_view text) {
        bool const refused = !this->writes.empty() && !this->leads();
        if (!refused) {
            this->note_run({this->id, std::string(text)});
        }
        this->commit();
    }

    void read_item(std::string const& item) {
        std::string data = "-";
        if (std::string const* const found = newest(this->home.log, item)) {
            data = *found;
        }
        for (auto const& [name, value] : this->writes) {
            data = name == item ? value : data;
        }
        if (std::exchange(this->home.lose_read, false)) {
            this->shut();
            return;
        }
        std::string text = "values";
        for (auto const& [name, value] : *this->values) {
            text.append(" ").append(name).append("=").append(value);
        }
        this->send("ROW " + data + "\r\nROW " + text + "\r\n");
        this->complete(this->signature());
    }

    void commit() {
        bool const changes = !this->writes.empty();
        if (changes && !this->leads()) {
            this->end();
            this->fail("READONLY");
            return;
        }
        auto writes = std::exchange(this->writes, {});
        this->end();
        if (!changes) {
            this->complete(this->signature());
            return;
        }
        this->busy = true;
        this->group.commit(std::move(writes), [weak = this->weak_from_this()] {
            auto const self = weak.lock();
            return self && self->answer_commit();
        });
    }

    bool answer_commit() {
        if (this->closed) {
            return false;
        }
        this->busy = false;
        if (std::exchange(this->home.lose_write, false)) {
            this->shut();
            return false;
        }
        this->complete(this->signature());
        this->take_lines();
        return true;
    }

    void end() {
        this->open = false;
        this->broken = false;
        this->writes.clear();
    }

    std::string signature() {
        return this->home.id + "." + std::to_string(++this->group.signatures);
    }

    void complete(std::string const& with) {
        this->send("COMPLETE " + with + "\r\n");
        this->ready();
    }

    void fail(std::string const& code) {
        this->send("ERROR " + code + " " + this->home.id + "\r\n");
        this->ready();
    }

    void ready() {
        auto const state = this->broken ? transaction_state::failed
                           : this->open ? transaction_state::open
                                        : transaction_state::idle;
        this->send(platform::format_ready(state, this->group.position(this->home)));
    }

    void send(std::string bytes) {
        if (!this->closed) {
            this->outgoing.add(bytes, this->shared_from_this());
        }
    }

    line_group::implementation& group;
    member& home;
    tcp::socket socket;
    net::read_loop incoming;
    platform::line_reader lines;
    net::send_queue outgoing;
    std::string team;
    std::string id; ///< Of the statement that is run.
    std::shared_ptr<line_group::session_values const> values =
        std::make_shared<line_group::session_values>();
    std::map<std::string, line_group::prepared_statement> prepared;
    std::vector<std::pair<std::string, std::string>> writes;
    bool open = false;
    bool plain = false;
    bool broken = false;
    bool busy = false;
    bool closed = false;
};

} // namespace

void line_group::implementation::accept(member& on) {
    on.acceptor->async_accept([weak = this->weak_from_this(), &on](
                                  boost::system::error_code failure, tcp::socket socket) {
        auto const self = weak.lock();
        if (!self || failure) {
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto const made = std::make_shared<session>(*self, on, std::move(socket));
        on.sessions.insert(made);
        made->read();
        self->accept(on);
    });
}

/// Brings all copies up to the primary's log, and answers the commits that one has.
void line_group::implementation::deliver() {
    for (auto& each : this->members) {
        member& copy = *each.second;
        if (&copy != this->primary && this->receives(copy)) {
            follow(copy.log, this->primary->log);
        }
    }
    auto const received = [this](std::uint64_t number) {
        return std::any_of(
            this->members.begin(), this->members.end(), [&](auto const& each) {
                member const& copy = *each.second;
                return &copy != this->primary && this->has(copy, number);
            });
    };
    while (!this->commits.empty() && received(this->commits.front().number)) {
        waiting_commit const first = std::move(this->commits.front());
        this->commits.pop_front();
        auto const entry = this->primary->log[first.number - 1];
        if (first.answer()) {
            this->acknowledged.insert(entry);
        }
    }
}

member& line_group::implementation::add() {
    auto made = std::make_unique<member>();
    made->id = this->name + "-" + std::to_string(this->members.size());
    made->acceptor = std::make_unique<tcp::acceptor>(
        this->loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    made->port = made->acceptor->local_endpoint().port();
    this->accept(*made);
    std::string const id = made->id;
    return *this->members.emplace(id, std::move(made)).first->second;
}

void line_group::implementation::lead(member& next) {
    if (&next == this->primary && !this->stopped) {
        return;
    }
    this->stopped = false;
    this->check_promotion(next);
    this->note_dropped(next);
    ++this->current_term;
    this->primary = &next;
    next.held_term = 0;
    this->commits.clear();
    this->deliver();
    if (this->promotion_hook) {
        this->promotion_hook();
    }
}

void line_group::implementation::check_promotion(member const& next) {
    entry_set dropped = this->acknowledged;
    for (auto const& each : next.log) {
        dropped.erase(each);
    }
    if (dropped.empty()) {
        return;
    }
    lossy_promotion found{next.id, this->current_term + 1, dropped.size(), {}};
    for (auto const& [id, other] : this->members) {
        std::size_t const commits = count_of(dropped, other->log);
        if (commits > 0) {
            found.holders.push_back({id, commits, other->alive});
        }
    }
    this->lossy.push_back(std::move(found));
    for (auto const& each : dropped) {
        this->acknowledged.erase(each);
    }
}

void line_group::implementation::note_dropped(member const& next) {
    entry_set missing = this->committed;
    for (auto const& each : next.log) {
        missing.erase(each);
    }
    auto const now = std::chrono::steady_clock::now();
    for (auto const& each : missing) {
        this->committed.erase(each);
        for (auto const& [item, data] : each->writes) {
            this->dropped.push_back({item, data, next.id, this->current_term + 1, now});
        }
    }
}

line_group::line_group(asio::io_context& loop, std::string name, std::size_t databases)
    : impl(std::make_shared<implementation>(loop, std::move(name))) {
    for (std::size_t i = 0; i < databases; ++i) {
        member& made = this->impl->add();
        this->impl->primary = this->impl->primary ? this->impl->primary : &made;
    }
}

line_group::~line_group() {
    for (auto& each : this->impl->members) {
        this->kill(each.first);
    }
}

std::vector<std::string> line_group::ids() const {
    std::vector<std::string> out;
    for (auto const& each : this->impl->members) {
        out.push_back(each.first);
    }
    return out;
}

std::string line_group::address(std::string const& id) const {
    return "127.0.0.1:" + std::to_string(this->impl->at(id).port);
}

std::string line_group::leader() const {
    return this->impl->primary->id;
}

std::uint64_t line_group::term() const {
    return this->impl->current_term;
}

std::string line_group::add_copy_of(std::string const& id) {
    member& made = this->impl->add();
    made.log = this->impl->at(id).log;
    this->impl->deliver();
    return made.id;
}

bool line_group::promote(std::string const& id) {
    member& next = this->impl->at(id);
    if (!next.alive) {
        return false;
    }
    if (this->impl->promotion_delay.count() == 0) {
        this->impl->lead(next);
        return true;
    }
    auto const timer = std::make_shared<asio::steady_timer>(
        this->impl->loop, this->impl->promotion_delay);
    timer->async_wait([weak = std::weak_ptr(this->impl), timer, &next,
                       deaths = next.deaths](boost::system::error_code) {
        auto const self = weak.lock();
        if (self && next.deaths == deaths) {
            self->lead(next);
        }
    });
    return true;
}

void line_group::set_promotion_delay(std::chrono::milliseconds delay) {
    this->impl->promotion_delay = delay;
}

void line_group::set_promotion_hook(std::function<void()> hook) {
    this->impl->promotion_hook = std::move(hook);
}

void line_group::kill(std::string const& id) {
    member& victim = this->impl->at(id);
    victim.alive = false;
    ++victim.deaths;
    // The port stays taken, so that nobody else gets it; connections to it are refused.
    victim.acceptor->close();
    victim.acceptor->open(tcp::v4());
    victim.acceptor->set_option(tcp::acceptor::reuse_address(true));
    victim.acceptor->bind({asio::ip::address_v4::loopback(), victim.port});
    auto const open = victim.sessions;
    for (auto const& each : open) {
        each->shut();
    }
}

void line_group::revive(std::string const& id) {
    member& back = this->impl->at(id);
    back.alive = true;
    back.held_term = 0;
    back.acceptor->listen();
    this->impl->accept(back);
    this->impl->deliver();
}

void line_group::lose_next_answer(std::string const& id, bool of_a_write) {
    member& target = this->impl->at(id);
    (of_a_write ? target.lose_write : target.lose_read) = true;
}

void line_group::set_deaf(std::string const& id, bool deaf) {
    this->impl->at(id).deaf = deaf;
    this->impl->deliver();
}

void line_group::set_delay(std::string const& id, std::chrono::milliseconds delay) {
    this->impl->at(id).delay = delay;
}

void line_group::set_silent(std::string const& id, bool silent) {
    this->impl->at(id).silent = silent;
}

void line_group::set_isolated(std::string const& id, bool isolated) {
    this->impl->at(id).isolated = isolated;
    this->impl->deliver();
}

void line_group::set_cut(std::string const& id, bool cut) {
    member& target = this->impl->at(id);
    if (cut == !target.cut_from.empty()) {
        return;
    }
    target.cut_from.clear();
    for (auto const& each : this->impl->members) {
        if (cut && each.first != id) {
            target.cut_from.insert(each.first);
        }
    }
    this->impl->deliver();
}

void line_group::set_order_delay(std::string const& id, std::chrono::milliseconds delay) {
    member& target = this->impl->at(id);
    target.order_delay = delay;
    target.orders = 0;
}

void line_group::set_order_hook(order_hook hook) {
    this->impl->on_order = std::move(hook);
}

std::vector<std::string> line_group::held() const {
    std::vector<std::string> out;
    for (auto const& [id, each] : this->impl->members) {
        if (each->alive && each->held_term > 0) {
            out.push_back(id);
        }
    }
    return out;
}

std::vector<line_group::lossy_promotion> line_group::lossy_promotions() const {
    return this->impl->lossy;
}

std::vector<line_group::dropped_write> line_group::dropped_writes() const {
    return this->impl->dropped;
}

std::string line_group::data(std::string const& item) const {
    std::string const* const found = newest(this->impl->primary->log, item);
    return found == nullptr ? std::string() : *found;
}

std::vector<line_group::item_write> line_group::writes() const {
    std::vector<item_write> all;
    for (auto const& entry : this->impl->primary->log) {
        for (auto const& [name, value] : entry->writes) {
            all.push_back({name, value, entry->term});
        }
    }
    return all;
}

std::size_t
line_group::times_written(std::string const& item, std::string const& data) const {
    auto const all = this->writes();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](item_write const& each) {
            return each.item == item && each.data == data;
        }));
}

std::vector<std::chrono::steady_clock::time_point>
line_group::runs_of(std::string const& team) const {
    auto const found = this->impl->runs.find(team);
    return found == this->impl->runs.end()
               ? std::vector<std::chrono::steady_clock::time_point>()
               : found->second;
}

std::vector<line_group::ran_statement> const& line_group::ran() const {
    return this->impl->ran;
}

std::map<std::string, std::size_t> line_group::teams() const {
    return this->impl->teams;
}

} // namespace persimmonpoint::standin
