#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <persimmonpoint/observe/thread_name.hpp>
#include <persimmonpoint/standin/deployment.hpp>
#include <random>
#include <thread>

namespace persimmonpoint::standin {

namespace asio = boost::asio;

namespace {

std::string random_text(std::size_t length) {
    constexpr std::string_view alphabet = "abcdefghijkmnpqrstuvwxyz23456789";
    thread_local std::mt19937_64 engine{std::random_device{}()};
    std::uniform_int_distribution<std::size_t> pick(0, alphabet.size() - 1);
    std::string text;
    for (std::size_t i = 0; i < length; ++i) {
        text.push_back(alphabet[pick(engine)]);
    }
    return text;
}

} // namespace

struct deployment::implementation {
    explicit implementation(settings::loaded_settings const& settings)
        : settings(settings),
          guard(asio::make_work_guard(this->loop)),
          platform(this->loop) {
        for (upstream_group const& group : this->settings.seed.groups) {
            this->make_group(group);
        }
        for (team const& each : this->settings.seed.teams) {
            this->make_team(each);
        }
        for (route const& each : this->settings.seed.routes) {
            this->write(to_row(each));
        }
        this->thread = std::thread([this] {
            observe::name_this_thread("standin");
            this->loop.run();
        });
    }

    void write(table_row row) {
        this->platform.write(std::move(row.key), std::move(row.value));
    }

    void make_group(upstream_group const& group) {
        this->write(to_row(group));
        auto& databases = this->groups[group.name];
        std::vector<database*> all;
        for (upstream_database each : group.databases) {
            database_options options;
            options.name = each.name;
            options.address = each.address;
            options.port = each.port;
            options.user = this->settings.host.upstream_user;
            options.password = this->settings.host.upstream_password;
            options.connections = each.connections;
            options.slots = each.slots;
            options.connect_time = to_microseconds(this->settings.standin.connect_time);
            options.round_trip = to_microseconds(this->settings.standin.round_trip);
            options.replication_lag =
                to_microseconds(this->settings.standin.replication_lag);
            databases.push_back(std::make_unique<database>(this->loop, options));
            all.push_back(databases.back().get());
            each.port = all.back()->port();
            this->write(to_row(each, group.name));
        }
        for (database* each : all) {
            each->set_peers(all);
        }
        all.front()->lead_first_term();
    }

    void make_team(team const& each) {
        constexpr std::size_t key_length = 24;
        constexpr std::size_t salt_length = 16;
        std::string const key = random_text(key_length);
        team_key entry;
        entry.id = each.name + "-1";
        entry.team = each.name;
        entry.salt = random_text(salt_length);
        entry.digest = key_digest(entry.salt, key);
        entry.labels = each.labels;
        this->write(to_row(each));
        this->write(to_row(entry));
        this->keys[each.name] = key;
    }

    static microseconds to_microseconds(duration value) {
        return std::chrono::duration_cast<microseconds>(value);
    }

    settings::loaded_settings settings;
    asio::io_context loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    standin::platform platform;
    std::map<std::string, std::vector<std::unique_ptr<database>>> groups;
    std::map<std::string, std::string> keys;
    std::thread thread;
};

deployment::deployment(settings::loaded_settings const& settings)
    : impl(std::make_unique<implementation>(settings)) {}

deployment::~deployment() {
    this->run([this] { this->impl->loop.stop(); });
    this->impl->thread.join();
}

settings::host_settings deployment::host_settings(std::string const& name) const {
    settings::host_settings out = this->impl->settings.host;
    out.name = name;
    out.port = 0;
    out.platform_address = "127.0.0.1";
    out.platform_port = this->platform_port();
    return out;
}

std::string const& deployment::key_of(std::string const& team) const {
    return this->impl->keys.at(team);
}

std::uint16_t deployment::platform_port() const {
    return this->impl->platform.port();
}

void deployment::run(std::function<void()> const& work) {
    if (std::this_thread::get_id() == this->impl->thread.get_id()) {
        work();
        return;
    }
    std::promise<void> done;
    asio::post(this->impl->loop, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

standin::platform& deployment::platform() {
    return this->impl->platform;
}

std::vector<database*> deployment::databases(std::string const& group) {
    std::vector<database*> all;
    for (auto const& each : this->impl->groups.at(group)) {
        all.push_back(each.get());
    }
    return all;
}

database* deployment::primary(std::string const& group) {
    database* leader = nullptr;
    for (database* each : this->databases(group)) {
        bool const leads = each->is_primary();
        if (leads && (leader == nullptr || leader->end_of_log() < each->end_of_log())) {
            leader = each;
        }
    }
    return leader;
}

} // namespace persimmonpoint::standin
