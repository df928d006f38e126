#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <persimmonpoint/observe/event_log.hpp>
#include <sstream>

namespace persimmonpoint::observe {

namespace {

namespace log_sinks = boost::log::sinks;

constexpr std::size_t most_queued_lines = 4000;
/// Of one field; more severe events list databases and hosts.
constexpr std::size_t most_text_bytes = 4096;
/// Lines of level info and below in one second; more severe ones are always queued.
constexpr std::int64_t most_lines_a_second = 1500;

std::atomic<std::uint64_t> dropped{0};
/// Of the dropped lines, those that a line in the log tells of.
std::atomic<std::uint64_t> dropped_and_told{0};
std::atomic<bool> running{false};
std::string host_name;

/// Drops what doesn't fit, and counts it.
struct counted_drop {
    template <class Lock>
    static bool on_overflow(boost::log::record_view const&, Lock&) {
        ++dropped;
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using backend = log_sinks::text_ostream_backend;
using queue = log_sinks::bounded_fifo_queue<most_queued_lines, counted_drop>;
using sink = log_sinks::asynchronous_sink<backend, queue>;
boost::shared_ptr<sink> active_sink;

char const* level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    default:
        return "error";
    }
}

/// Who reads the log must know how much of it is missing.
void tell_of_drops() {
    std::uint64_t const now = dropped.load();
    std::uint64_t const told = dropped_and_told.exchange(now);
    if (now > told) {
        log_event(log_level::warning, "log_lines_dropped", {{"lines", now - told}});
    }
}

/// Admits a bounded number of lines a second.
bool within_rate() {
    static std::atomic<std::int64_t> second{0};
    static std::atomic<std::int64_t> lines{0};
    std::int64_t const now = std::chrono::duration_cast<std::chrono::seconds>(
                                 std::chrono::steady_clock::now().time_since_epoch())
                                 .count();
    if (second.exchange(now) != now) {
        lines = 0;
        tell_of_drops();
    }
    return ++lines <= most_lines_a_second;
}

/// Ids and names of callers are as long as a message may be, so they are cut.
void append_text(std::string& line, std::string_view text) {
    boost::json::string shown(text.substr(0, most_text_bytes));
    if (text.size() > most_text_bytes) {
        shown += "... (" + std::to_string(text.size()) + " bytes)";
    }
    line += boost::json::serialize(shown);
}

void append_value(std::string& line, log_field const& field) {
    std::visit(
        [&line](auto const& value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, std::string_view>) {
                append_text(line, value);
            } else if constexpr (std::is_same_v<type, bool>) {
                line += value ? "true" : "false";
            } else {
                line += std::to_string(value);
            }
        },
        field.value);
}

std::string time_text() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return std::to_string(ms);
}

} // namespace

void start_event_log(std::string_view host) {
    host_name = host;
    auto const stream =
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter());
    auto const made = boost::make_shared<backend>();
    made->add_stream(stream);
    made->auto_flush(true);
    active_sink = boost::make_shared<sink>(made);
    active_sink->set_formatter(
        boost::log::expressions::stream << boost::log::expressions::smessage);
    active_sink->set_filter(boost::log::expressions::has_attr<bool>("Event"));
    boost::log::core::get()->add_sink(active_sink);
    running = true;
}

void stop_event_log() {
    if (running) {
        tell_of_drops();
    }
    if (!running.exchange(false)) {
        return;
    }
    boost::log::core::get()->remove_sink(active_sink);
    active_sink->stop();
    active_sink->flush();
    active_sink.reset();
}

void log_event(
    log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    if (!running.load(std::memory_order_relaxed) || level == log_level::debug) {
        return;
    }
    if (level == log_level::info && !within_rate()) {
        ++dropped;
        return;
    }
    std::string line = "{\"time_ms\":" + time_text() + ",\"level\":\"" +
                       level_name(level) + "\",\"host\":";
    append_text(line, host_name);
    line += ",\"event\":";
    append_text(line, event);
    for (log_field const& each : fields) {
        line += ',';
        append_text(line, each.name);
        line += ':';
        append_value(line, each);
    }
    line += '}';
    thread_local boost::log::sources::logger logger;
    thread_local bool const marked = [] {
        logger.add_attribute("Event", boost::log::attributes::constant<bool>(true));
        return true;
    }();
    (void)marked;
    BOOST_LOG(logger) << line;
}

std::uint64_t dropped_log_lines() {
    return dropped.load(std::memory_order_relaxed);
}

} // namespace persimmonpoint::observe
