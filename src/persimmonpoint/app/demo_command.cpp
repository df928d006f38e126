#include <chrono>
#include <iomanip>
#include <memory>
#include <ostream>
#include <persimmonpoint/app/commands.hpp>
#include <persimmonpoint/app/embedded_settings.hpp>
#include <persimmonpoint/app/options.hpp>
#include <persimmonpoint/app/sql_client.hpp>
#include <persimmonpoint/app/stop_signal.hpp>
#include <persimmonpoint/host/entry_host.hpp>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/standin/deployment.hpp>
#include <sstream>
#include <thread>
#include <vector>

namespace persimmonpoint::app {

namespace {

constexpr std::chrono::seconds start_limit{20};

double milliseconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

/// The scripted workload: each step says what it expects and what it saw.
class script {
public:
    script(
        std::ostream& out,
        standin::deployment& stage,
        std::vector<std::unique_ptr<host::entry_host>> const& hosts,
        settings::loaded_settings const& settings)
        : out(out),
          stage(stage),
          hosts(hosts),
          settings(settings),
          team(settings.seed.teams.front().name),
          route(settings.seed.routes.front().name) {}

    /// True if every step went as promised.
    bool run() {
        this->prepare();
        this->write_here_read_there();
        this->write_once();
        this->refuse_wrong_key();
        this->refuse_over_rate();
        this->replace_primary();
        this->out << (this->failures == 0 ? "All as promised.\n" : "NOT as promised.\n");
        return this->failures == 0;
    }

private:
    sql_client connect(std::size_t host, std::string const& options = "") {
        return sql_client(caller_target{
            this->hosts[host % this->hosts.size()]->port(), this->route, this->team,
            this->stage.key_of(this->team), options});
    }

    void tell(std::string const& what, bool as_promised, std::string const& seen) {
        this->failures += as_promised ? 0 : 1;
        this->out << (as_promised ? "  ok    " : "  WRONG ") << std::left << std::setw(52)
                  << what << seen << '\n';
    }

    std::string timed(double milliseconds) const {
        std::ostringstream text;
        text << std::fixed << std::setprecision(1) << milliseconds << " ms";
        return text.str();
    }

    /// A host starts with empty buckets; the first statements may have to wait a little.
    caller_answer patiently(sql_client& client, std::string const& sql) {
        constexpr int most_tries = 100;
        constexpr std::chrono::milliseconds pause{20};
        caller_answer answer = client.run(sql);
        for (int i = 0; i < most_tries && answer.sqlstate == "53400"; ++i) {
            std::this_thread::sleep_for(pause);
            answer = client.run(sql);
        }
        return answer;
    }

    void prepare() {
        sql_client client = this->connect(0);
        caller_answer const made = this->patiently(
            client, "CREATE TABLE counts (ladder text PRIMARY KEY, fish int)");
        this->tell(
            "a table is made through host 1", made.ok, made.ok ? made.tag : made.message);
    }

    void write_here_read_there() {
        sql_client writer = this->connect(0);
        auto const begun = std::chrono::steady_clock::now();
        caller_answer const written =
            this->patiently(writer, "INSERT INTO counts VALUES ('caroni', 42)");
        double const took = milliseconds_since(begun);
        this->tell(
            "a write is acknowledged once a second database has it", written.ok,
            written.ok ? this->timed(took) : written.message);
        std::string const token = writer.reported("persimmonpoint.session");
        this->tell(
            "the session's position is reported", !token.empty(), token.substr(0, 12));
        sql_client reader = this->connect(1, "-c persimmonpoint.session=" + token);
        auto const asked = std::chrono::steady_clock::now();
        caller_answer const read =
            this->patiently(reader, "SELECT fish FROM counts WHERE ladder = 'caroni'");
        double const answered = milliseconds_since(asked);
        bool const seen = read.ok && read.rows.size() == 1 && read.rows[0][0] == "42";
        this->tell(
            "host 2 reads it, with the session handed over", seen,
            read.ok ? this->timed(answered) : read.message);
    }

    void write_once() {
        std::string const statement =
            "UPDATE counts SET fish = fish + 1 WHERE ladder = 'caroni' RETURNING fish";
        sql_client first = this->connect(0);
        first.run("SET persimmonpoint.request_id = 'demo-1'");
        caller_answer const once = this->patiently(first, statement);
        sql_client second = this->connect(2);
        second.run("SET persimmonpoint.request_id = 'demo-1'");
        caller_answer const again = this->patiently(second, statement);
        bool const same = once.ok && again.ok && once.rows == again.rows;
        this->tell(
            "a request sent twice runs once", same,
            again.ok ? "both answers say " + again.rows[0][0].value_or("")
                     : again.message);
    }

    void refuse_wrong_key() {
        sql_client const client(caller_target{
            this->hosts[0]->port(), this->route, this->team, "not-the-key", ""});
        bool const refused =
            !client.is_connected() &&
            client.connect_error().find("no such key") != std::string::npos;
        this->tell("a wrong key is refused", refused, refused ? "28P01" : "connected");
    }

    void refuse_over_rate() {
        sql_client client = this->connect(0);
        persimmonpoint::team const& limited = this->settings.seed.teams.front();
        auto const tries = static_cast<int>(2 * limited.limit.burst) + 100;
        int served = 0;
        caller_answer refusal;
        for (int i = 0; i < tries; ++i) {
            caller_answer const answer = client.run("SELECT fish FROM counts LIMIT 1");
            served += answer.ok ? 1 : 0;
            if (answer.sqlstate == "53400") {
                refusal = answer;
                break;
            }
        }
        bool const refused = refusal.detail == "not run" && !refusal.hint.empty();
        this->tell(
            "a team over its rate is refused, and told when to come back", refused,
            std::to_string(served) + " served, then: " + refusal.hint);
    }

    void replace_primary() {
        std::string const group = this->settings.seed.routes.front().group;
        this->stage.run([&] {
            if (standin::database* leader = this->stage.primary(group)) {
                leader->die();
            }
        });
        auto const died = std::chrono::steady_clock::now();
        sql_client client = this->connect(1);
        caller_answer const written = this->patiently(
            client, "UPDATE counts SET fish = 50 WHERE ladder = 'caroni'");
        double const gap = milliseconds_since(died);
        constexpr double longest_gap_ms = 2000;
        this->tell(
            "the primary dies; a write is acknowledged again",
            written.ok && gap < longest_gap_ms,
            written.ok ? this->timed(gap) : written.message);
    }

    std::ostream& out;
    standin::deployment& stage;
    std::vector<std::unique_ptr<host::entry_host>> const& hosts;
    settings::loaded_settings const& settings;
    std::string team;
    std::string route;
    int failures = 0;
};

class demo_command final : public command {
public:
    std::string_view name() const override { return "demo"; }
    std::string_view summary() const override {
        return "Run hosts and stand-ins in one process, and a short workload";
    }

    exit_code
    run(std::span<std::string const> arguments,
        std::ostream& out,
        std::ostream& err) override {
        cxxopts::Options options = make_options(*this);
        options.add_options()(
            "s,settings", "Settings file; the Fisheries settings otherwise",
            cxxopts::value<std::string>())(
            "hosts", "Entry hosts in this process; 0 runs the stand-ins only",
            cxxopts::value<std::size_t>()->default_value("3"))(
            "keep", "Stay up until a signal, so that any client can connect")(
            "verbose", "Log as the settings say, rather than errors only");
        auto const parsed = parse_options(options, arguments, out, err);
        if (!parsed.values) {
            return parsed.code;
        }
        cxxopts::ParseResult const& values = *parsed.values;
        auto loaded = values.count("settings") > 0
                          ? settings::load_file(values["settings"].as<std::string>())
                          : settings::load("fisheries.toml", embedded_settings());
        bool const usable = loaded.findings.empty() && !loaded.seed.teams.empty() &&
                            !loaded.seed.routes.empty();
        if (!usable) {
            for (finding const& each : loaded.findings) {
                err << to_string(each) << '\n';
            }
            err << "demo: the settings need teams, groups and routes without a finding\n";
            return exit_code::usage;
        }
        observe::log_level level = observe::log_level::error;
        if (values.count("verbose") > 0) {
            observe::parse_log_level(loaded.host.log_level, level);
        }
        observe::set_log_level(level);
        return this->play(
            loaded, values["hosts"].as<std::size_t>(), values.count("keep") > 0, out);
    }

private:
    exit_code play(
        settings::loaded_settings loaded,
        std::size_t count,
        bool keep,
        std::ostream& out) {
        stop_signal const stop;
        standin::deployment stage(loaded);
        out << "Stand-ins: platform on 127.0.0.1:" << stage.platform_port() << ", "
            << loaded.seed.groups.size() << " groups of databases.\n";
        std::vector<std::unique_ptr<host::entry_host>> hosts;
        bool as_promised = true;
        if (count > 0) {
            loaded.host.hosts_expected = count;
            as_promised = this->start_hosts(stage, count, hosts, out) &&
                          script(out, stage, hosts, loaded).run();
        }
        if (keep) {
            this->stay(stage, hosts, loaded, out);
            stop.wait();
        }
        for (auto const& each : hosts) {
            each->stop();
        }
        return as_promised ? exit_code::success : exit_code::failure;
    }

    bool start_hosts(
        standin::deployment& stage,
        std::size_t count,
        std::vector<std::unique_ptr<host::entry_host>>& hosts,
        std::ostream& out) {
        for (std::size_t i = 0; i < count; ++i) {
            auto settings = stage.host_settings("entry-" + std::to_string(i + 1));
            settings.hosts_expected = count;
            hosts.push_back(std::make_unique<host::entry_host>(settings));
            hosts.back()->start();
        }
        for (auto const& each : hosts) {
            if (!each->wait_until_serving(start_limit)) {
                out << "A host did not come up.\n";
                return false;
            }
        }
        out << "Hosts: " << count << " serve callers.\n";
        return true;
    }

    void stay(
        standin::deployment& stage,
        std::vector<std::unique_ptr<host::entry_host>> const& hosts,
        settings::loaded_settings const& loaded,
        std::ostream& out) {
        for (auto const& each : hosts) {
            out << "Host on 127.0.0.1:" << each->port() << '\n';
        }
        for (team const& each : loaded.seed.teams) {
            out << "Team " << each.name << " has the key " << stage.key_of(each.name)
                << '\n';
        }
        for (route const& each : loaded.seed.routes) {
            out << "Route " << each.name << (each.open ? " is open" : "") << '\n';
        }
        out << "Up until a signal." << std::endl;
    }
};

} // namespace

std::unique_ptr<command> make_demo_command() {
    return std::make_unique<demo_command>();
}

} // namespace persimmonpoint::app
