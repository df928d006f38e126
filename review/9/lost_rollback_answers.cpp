/// Answers of a primary get lost for four seconds. After that, its callers must be served
/// again.

#include "../stage-2/stage.hpp"

#include <iostream>

using namespace review;

namespace {

constexpr std::size_t teams = 8;
constexpr milliseconds time_before{6000};
/// As the site's `answer_lost` with how = "primary": this share of the answers, for this
/// time.
constexpr double lost_share = 0.2;
constexpr milliseconds lost_time{4000};
/// The site's `recovery_s`.
constexpr milliseconds recovery_time{12000};
constexpr milliseconds time_after{55000};
/// A few teams are large.
constexpr std::size_t large_teams = 4;

milliseconds pause_of(std::size_t team) {
    return milliseconds(team < large_teams ? 50 : 500);
}

/// RULES, Gate: refused and failed requests are at most this share of those owed.
constexpr double most_unserved = 0.6;

enum class span { before, trouble, after };

struct counts {
    std::atomic<std::size_t> asked{0};
    std::atomic<std::size_t> served{0};
    std::string text() const {
        return std::to_string(this->served) + " of " + std::to_string(this->asked);
    }
    double share() const {
        return this->asked == 0 ? 0 : static_cast<double>(this->served) / this->asked;
    }
};

struct scene {
    std::atomic<span> now{span::before};
    std::atomic<bool> stopping{false};
    counts whole;
    counts before;
    counts after;
    std::vector<counts> after_by_team = std::vector<counts>(teams);
};

/// One read or write at a time, each with a session of its own.
void play(
    std::uint16_t port, std::size_t host, std::size_t team, scene& seen, record& log) {
    std::string const prefix =
        "c" + std::to_string(host) + "-" + std::to_string(team) + "-";
    for (std::size_t round = 0; !seen.stopping; ++round) {
        span const when = seen.now;
        client caller(port, prefix + std::to_string(round) + "-", milliseconds(3000));
        bool good = caller.start(fleet::route(0, "primary"), fleet::key(team)).good();
        // A WRITE whose answer is lost makes the hosts replace the primary, which would
        // hide what is shown here.
        bool const writes = round % 5 == 4 && when != span::trouble;
        std::string const text =
            writes ? "WRITE item" + prefix + " d" + std::to_string(round)
                   : "READ item" + prefix;
        auto const reply = caller.query(text);
        good = good && reply.good();
        log.write(
            "client " + caller.last_id() + " " + text + " -> " +
            (reply.closed   ? "closed"
             : reply.good() ? "COMPLETE"
                            : reply.error));
        ++seen.whole.asked;
        seen.whole.served += good ? 1 : 0;
        if (when == seen.now && when != span::trouble) {
            counts& in = when == span::before ? seen.before : seen.after;
            ++in.asked;
            in.served += good ? 1 : 0;
            if (when == span::after) {
                ++seen.after_by_team[team].asked;
                seen.after_by_team[team].served += good ? 1 : 0;
            }
        }
        sleep_for(pause_of(team));
    }
}

} // namespace

int main(int, char** arguments) {
    record log(arguments[1]);
    fleet_options options;
    options.hosts = 3;
    options.services = 1;
    options.teams = teams;
    fleet stage(options, log);
    if (!stage.wait_until_all_ready(milliseconds(10000))) {
        log.write("the hosts did not become ready");
        return 2;
    }
    scene seen;
    std::vector<std::thread> players;
    for (std::size_t i = 0; i < stage.hosts().size(); ++i) {
        for (std::size_t team = 0; team < teams; ++team) {
            players.emplace_back([&, i, team, port = stage.hosts()[i].callers] {
                play(port, i, team, seen, log);
            });
        }
    }
    sleep_for(time_before);
    seen.now = span::trouble;
    if (with_trouble()) {
        stage.service_at(0).lose_answers(lost_share);
    }
    sleep_for(lost_time);
    stage.service_at(0).lose_answers(0);
    sleep_for(recovery_time);
    seen.now = span::after;
    log.write("the time that counts begins");
    sleep_for(time_after);
    seen.stopping = true;
    for (std::thread& each : players) {
        each.join();
    }
    std::cout << "served before: " << seen.before.text() << "; from "
              << recovery_time.count() / 1000
              << " s after the trouble: " << seen.after.text() << "; by team:";
    for (counts const& each : seen.after_by_team) {
        std::cout << " " << each.text();
    }
    std::cout << "\n";
    bool const is_broken = 1 - seen.whole.share() > most_unserved;
    std::cout << "served of all: " << seen.whole.text() << "\n"
              << (is_broken ? "broken: Gate" : "held") << "\n";
    return seen.before.share() < 0.5 ? 2 : is_broken ? 1 : 0;
}
