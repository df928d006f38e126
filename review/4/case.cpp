/// A host gets SIGTERM while its callers are inside transactions. Exits with 1 if it cut
/// a connection whose request it had passed on to a database, without an answer; 0 if it
/// cut none, 2 if the case couldn't run.

#include "../stage/stage.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <mutex>

namespace {

using namespace review;

/// The other host owns the connections to the primary.
constexpr std::size_t stopped = 1;
constexpr unsigned sessions = 24;
/// PROTOCOL.md: "a transaction of up to 12 statements with pauses between them".
constexpr unsigned statements = 12;
constexpr std::int64_t pause_ms = 550;
/// The transactions begin so long after the SIGTERM, the last one this much later.
constexpr std::int64_t first_begin_ms = 100;
constexpr std::int64_t spread_ms = 800;
/// bounds.grace_s, bounds.loss_slack_ms.
constexpr std::int64_t grace_ms = 6000;
constexpr std::int64_t loss_slack_ms = 200;
/// Of the rule: requests sent later than this after the SIGTERM have no excuse by the
/// last sixth of the grace.
constexpr std::int64_t excused_until_ms = 3000;
constexpr std::int64_t play_ms = 9000;

struct cut {
    std::string caller;
    reply got;
};

std::mutex cuts_mutex;
std::vector<cut> cuts;

void work(unsigned index, stage& all, std::int64_t begin) {
    caller session("c" + std::to_string(index), all.port(stopped));
    if (!session.start(primary_route, key_of_first).good()) {
        return;
    }
    sleep_until_ms(begin);
    std::vector<std::string> texts = {"BEGIN"};
    for (unsigned i = 0; i < statements - 1; ++i) {
        texts.push_back("READ item-" + std::to_string(index));
    }
    texts.emplace_back("COMMIT");
    for (std::string const& each : texts) {
        reply const got = session.query(each);
        if (got.closed) {
            std::lock_guard const lock(cuts_mutex);
            cuts.push_back({session.called(), got});
        }
        if (!got.good()) {
            return;
        }
        sleep_ms(pause_ms);
    }
}

int play() {
    stage_plan plan;
    plan.hosts = {{"host-1", "zone-a"}, {"host-2", "zone-b"}};
    plan.databases = {{"db-1", "zone-a"}, {"db-2", "zone-b"}, {"db-3", "zone-b"}};
    plan.slots = 3;
    plan.max_connections = 36;
    plan.work = milliseconds(40);
    plan.statement_timeout = milliseconds(2000);
    plan.target_latency = milliseconds(600);
    stage all(plan);
    if (!all.wait_ready(20000)) {
        return 2;
    }
    sleep_ms(2000);
    std::int64_t const term_at = now_ms() + 500;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < sessions; ++i) {
        workers.emplace_back([&, i] {
            work(i, all, term_at + first_begin_ms + spread_ms * i / sessions);
        });
    }
    sleep_until_ms(term_at);
    if (with_trouble()) {
        all.send_signal(stopped, SIGTERM);
    }
    std::int64_t const end = term_at + play_ms;
    while (now_ms() < end && all.running(stopped)) {
        sleep_ms(10);
        if (with_trouble() && now_ms() > term_at + grace_ms) {
            all.send_signal(stopped, SIGKILL);
        }
    }
    for (std::thread& each : workers) {
        each.join();
    }
    auto const events = all.databases().events();
    std::size_t counted = 0;
    for (cut const& each : cuts) {
        std::int64_t const sent = each.got.sent - term_at;
        bool const passed_on =
            std::any_of(events.begin(), events.end(), [&](database_event const& event) {
                return event.id == each.got.id;
            });
        bool const counts =
            sent > excused_until_ms &&
            (passed_on || each.got.answered - each.got.sent > loss_slack_ms);
        counted += counts ? 1 : 0;
        record(
            std::string(counts ? "LOST: " : "not counted: ") + "request " + each.got.id +
            ", sent " + std::to_string(sent) + " ms after the SIGTERM, got no answer; " +
            "the connection ended after " +
            std::to_string(each.got.answered - each.got.sent) + " ms; " +
            (passed_on ? "it had been passed on to a database"
                       : "it had not been passed on"));
    }
    record(
        std::to_string(cuts.size()) + " connections ended without an answer, " +
        std::to_string(counted) + " of them count");
    return counted == 0 ? 0 : 1;
}

} // namespace

int main(int, char** arguments) {
    open_record(arguments[1]);
    int code = 2;
    try {
        code = play();
    } catch (std::exception const& failure) {
        record(std::string("couldn't run: ") + failure.what());
    }
    record("exit " + std::to_string(code));
    std::_Exit(code);
}
