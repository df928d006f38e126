#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>
#include <soak/soak_caller.hpp>
#include <soak/soak_stage.hpp>
#include <thread>
#include <unistd.h>

/// Runs hosts as processes under faults drawn from a seed, and checks what callers and
/// databases saw. Exits with 1 if a seed fails; the hosts' logs of such a seed are kept.

using namespace persimmonpoint::tests;
using std::chrono::milliseconds;

namespace {

/// The users allow twelve seconds until service is back.
constexpr milliseconds recovery_bound(12000);
/// What comes late has come by then.
constexpr milliseconds latest_order(12000);
constexpr milliseconds poll_pause(50);
constexpr milliseconds ready_patience(15000);
constexpr std::size_t flooding_callers = 3;
constexpr std::size_t most_violations_shown = 10;
/// The command line can't be used.
constexpr int exit_usage = 2;

struct soak_options {
    std::filesystem::path program;
    std::filesystem::path folder;
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    std::size_t callers = 12;
    milliseconds length{10000};
    std::string faults = "everyday";

    bool of_leadership() const { return this->faults != "everyday"; }
};

/// How the plan of a set of faults is drawn; null if there is no such set.
decltype(&plan_soak) planner_of(std::string const& faults) {
    if (faults == "everyday") {
        return plan_soak;
    }
    if (faults == "leadership") {
        return plan_leadership_soak;
    }
    if (faults == "unseen") {
        return plan_unseen_soak;
    }
    return faults == "silent" ? plan_silent_soak : nullptr;
}

soak_time now() {
    return std::chrono::steady_clock::now();
}

/// Carries out the plan in real time.
std::vector<soak_disturbance>
play(soak_stage& stage, std::vector<planned_fault> const& plan, milliseconds length) {
    soak_time const start = now();
    std::vector<soak_disturbance> all;
    std::vector<bool> over(plan.size(), false);
    for (std::size_t next = 0; now() - start < length;) {
        while (next < plan.size() && now() - start >= plan[next].at) {
            soak_time const begun = now();
            all.push_back({stage.begin(plan[next]), begun, soak_time::max()});
            ++next;
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (!over[i] && now() - all[i].begun >= all[i].fault.length) {
                stage.end(all[i].fault);
                over[i] = true;
                all[i].ended = now();
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    stage.heal();
    for (soak_disturbance& each : all) {
        each.ended = std::min(each.ended, now());
    }
    return all;
}

/// Reads and writes on each host and route until they are served.
std::vector<std::string>
check_recovery(soak_stage const& stage, statement_record& record) {
    std::vector<std::string> found;
    std::size_t attempts = 0;
    soak_time const start = now();
    for (std::size_t host = 0; host < stage.host_count(); ++host) {
        for (char const* const database : {"alerts", "browse", "tallies"}) {
            bool served = false;
            while (!served && now() - start < recovery_bound) {
                recorded_caller caller(
                    stage.caller_port(host), "r" + std::to_string(++attempts) + ".",
                    record, milliseconds(3000));
                served = caller.start(database, lasting_key).error.empty() &&
                         caller.query("READ c0-0").signature.size() > 1 &&
                         caller.query("WRITE last x").signature.size() > 1;
            }
            if (!served) {
                found.push_back(
                    "host " + std::to_string(host) + " does not serve " + database +
                    " again");
            }
        }
    }
    return found;
}

/// A replica that stays held receives nothing any more: it is no second copy, and a loss
/// if it is promoted.
std::vector<std::string> check_holds(soak_stage& stage) {
    soak_time const start = now();
    auto held = stage.held_replicas();
    while (!held.empty() && now() - start < latest_order + recovery_bound) {
        std::this_thread::sleep_for(poll_pause);
        held = stage.held_replicas();
    }
    std::vector<std::string> found;
    for (std::string const& each : held) {
        found.push_back("replica " + each + " is held and nobody resumes it");
    }
    return found;
}

struct tally {
    std::size_t succeeded = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
};

tally count(std::vector<soak_operation> const& operations) {
    tally sums;
    for (soak_operation const& each : operations) {
        if (each.outcome == soak_outcome::succeeded) {
            ++sums.succeeded;
        } else if (each.outcome == soak_outcome::not_run) {
            ++sums.refused;
        } else {
            ++sums.unknown;
        }
    }
    return sums;
}

std::size_t count_prepared(
    std::vector<persimmonpoint::standin::line_group::ran_statement> const& ran) {
    return static_cast<std::size_t>(
        std::count_if(ran.begin(), ran.end(), [](auto const& each) {
            return each.prepared.has_value();
        }));
}

void print(planned_fault const& fault) {
    std::cout << "  at " << fault.at.count() << " ms for " << fault.length.count()
              << " ms: " << to_string(fault.kind) << " " << fault.target;
    bool const late = fault.kind == soak_fault::orders_late ||
                      fault.kind == soak_fault::promotions_late;
    if (late) {
        std::cout << " by " << fault.delay.count() << " ms";
    }
    if (fault.kind == soak_fault::primary_silent_to_hosts) {
        std::cout << ", hosts: " << fault.rank;
    }
    std::cout << '\n';
}

/// Violations of one seed.
std::vector<std::string> run_seed(soak_options const& options) {
    auto const plan =
        planner_of(options.faults)(options.seed, options.length, options.hosts, 3);
    soak_stage stage(options.program, options.folder, options.hosts);
    if (!stage.wait_ready(ready_patience)) {
        return {"hosts did not become ready"};
    }
    soak_record record;
    std::atomic<bool> over{false};
    std::atomic<std::size_t> last_session{0};
    soak_field field{{}, record, over, last_session, options.callers};
    for (std::size_t i = 0; i < options.hosts; ++i) {
        field.hosts.push_back(stage.caller_port(i));
    }
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < options.callers; ++i) {
        threads.emplace_back([&field, i, seed = options.seed * 1000 + i] {
            soak_caller(field, i, seed).run();
        });
    }
    for (std::size_t i = 0; i < flooding_callers; ++i) {
        threads.emplace_back([&field] { flood(field, metered_key); });
    }
    soak_evidence evidence;
    evidence.disturbances = play(stage, plan, options.length);
    auto violations = check_recovery(stage, record.statements());
    if (options.of_leadership()) {
        for (std::string& each : check_holds(stage)) {
            violations.push_back(std::move(each));
        }
    }
    over = true;
    for (std::thread& each : threads) {
        each.join();
    }
    stage.collect(evidence);
    evidence.operations = record.operations();
    evidence.sent = record.statements().all();
    for (std::string& each : check_soak(evidence)) {
        violations.push_back(std::move(each));
    }
    for (std::string& each : record.violations()) {
        violations.push_back(std::move(each));
    }
    for (std::string& each : stage.unasked_endings()) {
        violations.push_back(std::move(each));
    }
    for (std::string& each : stage.unreadable_logs()) {
        violations.push_back(std::move(each));
    }
    tally const sums = count(evidence.operations);
    std::cout << "seed " << options.seed << ": " << evidence.operations.size()
              << " operations, " << sums.succeeded << " succeeded, " << sums.refused
              << " refused, " << sums.unknown << " unknown, " << evidence.ran.size()
              << " statements ran (" << count_prepared(evidence.ran) << " prepared), "
              << plan.size() << " faults: "
              << (violations.empty()
                      ? "held"
                      : "FAILED, " + std::to_string(violations.size()) + " violations")
              << std::endl;
    if (!violations.empty()) {
        for (soak_disturbance const& each : evidence.disturbances) {
            print(each.fault);
        }
    }
    return violations;
}

cxxopts::Options describe_options() {
    cxxopts::Options parser("soak", "Hosts as processes under faults drawn from seeds");
    parser.add_options()("h,help", "Print this help")(
        "program", "The program", cxxopts::value<std::string>())(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "count", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "length", "Seconds of faults", cxxopts::value<unsigned>()->default_value("10"))(
        "hosts", "Processes", cxxopts::value<std::size_t>()->default_value("3"))(
        "callers", "Callers", cxxopts::value<std::size_t>()->default_value("12"))(
        "faults", "everyday, leadership, unseen, or silent",
        cxxopts::value<std::string>()->default_value("everyday"));
    return parser;
}

/// False if the seed failed; the hosts' logs are kept then.
bool play_seed(soak_options options) {
    options.folder = std::filesystem::temp_directory_path() /
                     ("persimmonpoint-soak-" + std::to_string(::getpid()) + "-" +
                      std::to_string(options.seed));
    std::filesystem::create_directories(options.folder);
    auto const violations = run_seed(options);
    if (violations.empty()) {
        std::filesystem::remove_all(options.folder);
        return true;
    }
    for (std::size_t at = 0; at < violations.size() && at < most_violations_shown; ++at) {
        std::cout << "  " << violations[at] << '\n';
    }
    std::cout << "  logs: " << options.folder.string() << std::endl;
    return false;
}

int play_seeds(cxxopts::ParseResult const& given) {
    soak_options options;
    options.program = given["program"].as<std::string>();
    options.length = std::chrono::seconds(given["length"].as<unsigned>());
    options.hosts = given["hosts"].as<std::size_t>();
    options.callers = given["callers"].as<std::size_t>();
    options.faults = given["faults"].as<std::string>();
    if (planner_of(options.faults) == nullptr) {
        std::cerr << "soak: no such faults: " << options.faults << std::endl;
        return exit_usage;
    }
    std::uint64_t const first = given["seed"].as<std::uint64_t>();
    std::uint64_t const seeds = given["count"].as<std::uint64_t>();
    std::size_t failed = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        options.seed = first + i;
        failed += play_seed(options) ? 0 : 1;
    }
    std::cout << "soak: " << seeds - failed << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    cxxopts::Options parser = describe_options();
    try {
        auto const given = parser.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << parser.help();
            return 0;
        }
        if (given.count("program") == 0) {
            std::cerr << "soak: name the program with --program" << std::endl;
            return exit_usage;
        }
        return play_seeds(given);
    } catch (cxxopts::exceptions::exception const& failure) {
        std::cerr << "soak: " << failure.what() << std::endl;
        return exit_usage;
    }
}
