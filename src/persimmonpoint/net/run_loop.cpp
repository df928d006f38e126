#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/observe/event_log.hpp>

namespace persimmonpoint::net {

void log_unexpected(std::string_view part, std::exception const& failure) {
    observe::log_event(
        observe::log_level::error, "unexpected_error",
        {{"part", part}, {"reason", failure.what()}});
}

void run_loop(boost::asio::io_context& loop, std::string_view name) {
    while (!run_guarded(name, [&loop] { loop.run(); })) {}
}

bool run_guarded(std::string_view part, std::function<void()> const& action) {
    try {
        action();
        return true;
    } catch (std::exception const& failure) {
        log_unexpected(part, failure);
        return false;
    }
}

} // namespace persimmonpoint::net
