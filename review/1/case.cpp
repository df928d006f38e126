/// The host that owns the connections to a primary is gone for a moment while callers of
/// another host are inside transactions that run on these connections: it is killed and
/// started again, or it freezes and wakes. Exits with 1 if a statement ran in the
/// transaction of another caller, 0 if none did, 2 if the case couldn't run.

#include "../stage/stage.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace {

using namespace review;

/// Sessions that are inside a transaction when the host goes, and after its return.
constexpr unsigned sessions = 3;
/// From the kill to the start: DEPLOY.md, "restarted after a short delay".
constexpr std::int64_t restart_after_ms = 400;
constexpr std::int64_t freeze_ms = 1000;
/// From the last statement of the waiting transactions to their next one; below the
/// transaction_idle_ms of 3,000 that the configuration sets.
constexpr std::int64_t pause_ms = 2400;
constexpr std::size_t owner = 0;
constexpr std::size_t other = 1;

enum class disruption { kill, freeze };

using callers = std::vector<std::unique_ptr<caller>>;

/// A transaction with one write; false if it didn't come about.
bool open_transaction(caller& of) {
    if (!of.start(primary_route, key_of_first).good()) {
        return false;
    }
    return of.query("BEGIN").good() &&
           of.query("WRITE item-" + of.called() + " data-" + of.called()).good();
}

callers make(std::string const& prefix, std::uint16_t port) {
    callers made;
    for (unsigned i = 1; i <= sessions; ++i) {
        made.push_back(std::make_unique<caller>(prefix + std::to_string(i), port));
    }
    return made;
}

int play(disruption kind) {
    stage_plan plan;
    plan.hosts = {{"host-1", "zone-a"}, {"host-2", "zone-b"}};
    plan.databases = {{"db-1", "zone-a"}, {"db-2", "zone-b"}, {"db-3", "zone-b"}};
    stage all(plan);
    if (!all.wait_ready(20000)) {
        record("the hosts didn't become ready");
        return 2;
    }
    sleep_ms(2000);

    callers before = make("before", all.port(other));
    for (auto const& each : before) {
        if (!open_transaction(*each)) {
            return 2;
        }
    }
    std::int64_t const opened = now_ms();
    if (with_trouble() && kind == disruption::kill) {
        all.send_signal(owner, SIGKILL);
        sleep_ms(restart_after_ms);
        all.start_host(owner);
    } else if (with_trouble()) {
        all.send_signal(owner, SIGSTOP);
        sleep_ms(freeze_ms);
        all.send_signal(owner, SIGCONT);
    }
    if (!all.wait_ready(5000)) {
        return 2;
    }
    // Until the other host has its link again.
    sleep_until_ms(opened + pause_ms - 500);
    callers after = make("after", all.port(other));
    for (auto const& each : after) {
        if (!open_transaction(*each)) {
            record(each->called() + " got no transaction");
        }
    }
    sleep_until_ms(opened + pause_ms);
    std::vector<std::string> told;
    for (auto const& each : before) {
        reply const committed = each->query("COMMIT");
        if (committed.good()) {
            told.push_back("item-" + each->called() + "=data-" + each->called());
        }
    }
    for (auto const& each : after) {
        each->query("ROLLBACK");
    }
    sleep_ms(300);

    auto const foreign = all.databases().foreign();
    for (std::string const& each : foreign) {
        record("PINNED, UNASKED: " + each);
    }
    auto const log = all.databases().log_of(all.databases().leader());
    for (std::string const& each : log) {
        record("in the log of the primary: " + each);
    }
    std::size_t lost = 0;
    for (std::string const& each : told) {
        bool const there = std::find(log.begin(), log.end(), each) != log.end();
        record("told as committed: " + each + (there ? "" : ", and not in the log"));
        lost += there ? 0 : 1;
    }
    if (!with_trouble() && told.size() != sessions) {
        return 2;
    }
    record(
        std::to_string(foreign.size()) + " statements ran in a foreign transaction, " +
        std::to_string(lost) + " acknowledged commits are not in the log");
    return foreign.empty() && lost == 0 ? 0 : 1;
}

} // namespace

int main(int, char** arguments) {
    open_record(arguments[1]);
    int code = 2;
    try {
        record("-- a host is killed and started again");
        int const killed = play(disruption::kill);
        record("-- a host freezes and wakes");
        int const frozen = play(disruption::freeze);
        code = killed == 1 || frozen == 1 ? 1 : std::max(killed, frozen);
    } catch (std::exception const& failure) {
        record(std::string("couldn't run: ") + failure.what());
    }
    record("exit " + std::to_string(code));
    std::_Exit(code);
}
