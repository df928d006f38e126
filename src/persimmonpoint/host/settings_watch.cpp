#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <persimmonpoint/host/settings_watch.hpp>
#include <persimmonpoint/observe/event_log.hpp>
#include <utility>

namespace persimmonpoint::host {

namespace {

constexpr auto look_interval = std::chrono::seconds(2);

} // namespace

struct settings_watch::implementation {
    implementation(boost::asio::io_context& loop, std::string name, handler done)
        : file(std::move(name)), on_read(std::move(done)), timer(loop) {}

    /// True if the file was written since the last look. One that can't be looked at
    /// counts as it was.
    bool was_written() {
        std::error_code missing;
        auto const now = std::filesystem::last_write_time(this->file, missing);
        if (missing || now == this->written) {
            return false;
        }
        this->written = now;
        return true;
    }

    /// The file may change without a signal.
    void look_later() {
        this->timer.expires_after(look_interval);
        this->timer.async_wait([this](boost::system::error_code failure) {
            if (failure) {
                return;
            }
            if (this->was_written()) {
                this->read();
            }
            this->look_later();
        });
    }

    void read() {
        auto const loaded = settings::load_front_file(this->file);
        if (!loaded.findings.empty()) {
            observe::log_event(
                observe::log_level::error, "settings_unusable",
                {{"finding", to_string(loaded.findings.front())}});
            return;
        }
        observe::log_event(
            observe::log_level::info, "settings_reread",
            {{"grace_ms", loaded.values.grace.count()}});
        this->on_read(loaded.values);
    }

    std::string file;
    handler on_read;
    boost::asio::steady_timer timer;
    std::filesystem::file_time_type written{};
};

settings_watch::settings_watch(
    boost::asio::io_context& loop, std::string file, handler on_read)
    : impl(std::make_unique<implementation>(loop, std::move(file), std::move(on_read))) {}

settings_watch::~settings_watch() = default;

void settings_watch::start() {
    if (!this->impl->file.empty()) {
        this->impl->was_written();
        this->impl->look_later();
    }
}

void settings_watch::reread() {
    if (!this->impl->file.empty()) {
        this->impl->read();
    }
}

} // namespace persimmonpoint::host
