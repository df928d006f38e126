#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <persimmonpoint/engine/commit_guard.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::engine {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(30);
/// Commits that are on their way longer than this are not waited for.
constexpr duration in_flight_patience = std::chrono::milliseconds(150);
/// Notices that a host may tell in one millisecond, at most.
constexpr std::uint64_t numbers_per_ms = 1000;

/// Greater than any number that this host has used before it was started.
std::uint64_t first_notice_number() {
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                   .count()) *
           numbers_per_ms;
}

void log_change(fence_change const& each) {
    if (each.begins) {
        observe::log_event(
            observe::log_level::warning, "commits_fenced",
            {{"group", each.about.group},
             {"database", each.about.primary},
             {"by", each.by},
             {"how", each.source == notice_source::peer ? "peer" : "store"}});
    } else {
        observe::log_event(
            observe::log_level::info, "commits_fence_lifted",
            {{"group", each.about.group},
             {"database", each.about.primary},
             {"by", each.by},
             {"refused", each.refused}});
    }
}

struct owed_answer {
    fence_notice notice;
    std::function<void()> answer;
    instant deadline{};
};

} // namespace

struct commit_guard::implementation : std::enable_shared_from_this<implementation> {
    implementation(
        boost::asio::io_context& loop,
        clock const& time,
        fleet_view const& view,
        notice_board& board,
        std::string self)
        : time(time),
          view(view),
          board(board),
          self(std::move(self)),
          timer(loop),
          fence(time.now()),
          calls(first_notice_number()) {}

    instant now() const { return this->time.now(); }

    void tick() {
        this->timer.expires_after(tick_interval);
        this->timer.async_wait(
            [weak = this->weak_from_this()](boost::system::error_code failure) {
                auto const guard = weak.lock();
                if (guard && !failure) {
                    guard->look();
                    guard->tick();
                }
            });
    }

    void look() {
        this->fence.ticked(this->now());
        this->log_changes();
        this->answer_owed();
        this->tell();
        if (this->fence.wants_reading(this->now())) {
            this->read();
        }
        this->notify();
    }

    void notify() {
        if (this->listener) {
            this->listener();
        }
    }

    void log_changes() {
        for (fence_change const& each : this->fence.changes(this->now())) {
            log_change(each);
        }
    }

    // Commits of this host

    fence_verdict judge(std::string const& group, std::string const& database) {
        if (this->calls.names(group, database)) {
            return fence_verdict::refuse;
        }
        instant const time = this->now();
        bool const all_heard = this->view.hosts.version().is_known() &&
                               this->mesh->hears_all(this->fence.hearing_age(time));
        fence_verdict const verdict = this->fence.judge(group, database, all_heard, time);
        if (verdict == fence_verdict::needs_reading) {
            this->read();
        }
        return verdict;
    }

    /// Reads the notices in the store, unless that is under way.
    void read() {
        if (std::exchange(this->reading, true)) {
            return;
        }
        this->board.read_notices(
            [weak = this->weak_from_this(),
             began = this->now()](std::optional<std::vector<stored_notice>> const& read) {
                if (auto const guard = weak.lock()) {
                    guard->was_read(read, began);
                }
            });
    }

    void was_read(std::optional<std::vector<stored_notice>> const& read, instant began) {
        this->reading = false;
        if (read) {
            for (stored_notice const& each : *read) {
                if (each.host != this->self) {
                    this->fence.take(
                        each.host, each.notice, notice_source::store, this->now());
                }
            }
            this->fence.reading_succeeded(began);
        } else {
            this->fence.reading_failed(this->now());
        }
        this->log_changes();
        this->notify();
    }

    // Changes of other hosts

    bool is_in_flight(fenced_primary const& about) const {
        return std::any_of(
            this->in_flight.begin(), this->in_flight.end(), [&](auto const& each) {
                if (!about.primary.empty()) {
                    return each.first == about.primary;
                }
                registered_database const* const entry =
                    this->view.find_database(each.first);
                return entry != nullptr && entry->group == about.group;
            });
    }

    bool is_clear(fence_notice const& notice) const {
        return std::none_of(
            notice.fenced.begin(), notice.fenced.end(),
            [this](auto const& each) { return this->is_in_flight(each); });
    }

    void answer_owed() {
        instant const time = this->now();
        std::erase_if(this->owed, [&](owed_answer const& each) {
            bool const is_due = time >= each.deadline || this->is_clear(each.notice);
            if (is_due) {
                each.answer();
            }
            return is_due;
        });
    }

    // Changes of this host

    std::vector<fence_partner> partners() const {
        auto all = this->mesh->fence_partners();
        if (!this->view.hosts.version().is_known()) {
            // There may be hosts that nobody has named yet.
            all.push_back({"", false});
        }
        return all;
    }

    void tell() {
        if (auto const notice = this->calls.due(this->now())) {
            this->mesh->tell_all(fence_message{notice->number, notice->fenced});
        }
        if (auto const notice = this->calls.write_due(this->partners(), this->now())) {
            this->board.write_notice(
                *notice,
                [weak = this->weak_from_this()](std::optional<std::uint64_t> const& era) {
                    if (auto const guard = weak.lock()) {
                        guard->calls.written(era, guard->now());
                    }
                });
        }
    }

    clock const& time;
    fleet_view const& view;
    notice_board& board;
    std::string self;
    boost::asio::steady_timer timer;
    peer_mesh* mesh = nullptr;
    commit_fence fence;
    fence_call calls;
    std::function<void()> listener;
    std::vector<owed_answer> owed;
    std::map<std::string, std::size_t, std::less<>> in_flight; ///< By database.
    bool reading = false;
};

commit_guard::commit_guard(
    boost::asio::io_context& loop,
    clock const& clock,
    fleet_view const& view,
    notice_board& board,
    std::string self)
    : impl(std::make_shared<implementation>(loop, clock, view, board, std::move(self))) {}

commit_guard::~commit_guard() {
    this->impl->timer.cancel();
}

void commit_guard::start(peer_mesh& mesh) {
    this->impl->mesh = &mesh;
    this->impl->tick();
}

fence_verdict commit_guard::judge(std::string const& group, std::string const& database) {
    return this->impl->judge(group, database);
}

void commit_guard::set_listener(std::function<void()> look) {
    this->impl->listener = std::move(look);
}

void commit_guard::commit_sent(std::string const& database) {
    ++this->impl->in_flight[database];
}

void commit_guard::commit_ended(std::string const& database) {
    auto const found = this->impl->in_flight.find(database);
    if (found != this->impl->in_flight.end() && --found->second == 0) {
        this->impl->in_flight.erase(found);
    }
}

void commit_guard::on_notice(
    std::string const& host, fence_notice notice, std::function<void()> answer) {
    instant const now = this->impl->now();
    bool const is_taken = this->impl->fence.take(host, notice, notice_source::peer, now);
    this->impl->log_changes();
    if (!is_taken || notice.fenced.empty()) {
        return;
    }
    this->impl->owed.push_back(
        {std::move(notice), std::move(answer), now + in_flight_patience});
    this->impl->answer_owed();
}

void commit_guard::call(std::string const& group, std::string const& primary) {
    this->impl->calls.begin(group, primary, this->impl->now());
    this->impl->tell();
}

void commit_guard::end(std::string const& group) {
    this->impl->calls.end(group);
    this->impl->tell();
}

bool commit_guard::is_called(std::string const& group) const {
    return this->impl->calls.is_called(group);
}

fence_standing commit_guard::standing(std::string const& group) {
    return this->impl->calls.judge(group, this->impl->partners(), this->impl->now());
}

std::optional<instant> commit_guard::stands_since(std::string const& group) const {
    return this->impl->calls.stands_since(group);
}

void commit_guard::on_answer(std::string const& host, std::uint64_t number) {
    this->impl->calls.answered(host, number);
}

std::optional<fence_notice> commit_guard::current_notice() const {
    return this->impl->calls.current();
}

std::size_t commit_guard::hosts_unlinked() const {
    auto const all = this->impl->partners();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](auto const& each) { return !each.linked; }));
}

} // namespace persimmonpoint::engine
