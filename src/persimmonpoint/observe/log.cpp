#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <mutex>
#include <persimmonpoint/observe/log.hpp>
#include <persimmonpoint/observe/one_line.hpp>

namespace persimmonpoint::observe {

namespace {

namespace trivial = boost::log::trivial;

constexpr std::array<std::string_view, 7> prefixes = {
    "app", "catalog", "control", "group", "platform", "session", "traffic"};
constexpr std::array<std::string_view, 4> level_names = {
    "debug", "info", "warning", "error"};

std::atomic<log_level> least_level{log_level::info};

trivial::severity_level to_severity(log_level level) {
    switch (level) {
    case log_level::debug:
        return trivial::debug;
    case log_level::info:
        return trivial::info;
    case log_level::warning:
        return trivial::warning;
    default:
        return trivial::error;
    }
}

void set_up_console() {
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(
        std::cerr,
        boost::log::keywords::format =
            (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                          << ' ' << trivial::severity << ' ' << expr::smessage),
        boost::log::keywords::auto_flush = true);
}

} // namespace

bool parse_log_level(std::string_view name, log_level& level) {
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (level_names[i] == name) {
            level = static_cast<log_level>(i);
            return true;
        }
    }
    return false;
}

void set_log_level(log_level level) {
    least_level = level;
}

void log(log_level level, log_part part, std::string_view sentence) {
    if (level < least_level.load(std::memory_order_relaxed)) {
        return;
    }
    static std::once_flag console;
    std::call_once(console, set_up_console);
    thread_local boost::log::sources::severity_logger<trivial::severity_level> logger;
    BOOST_LOG_SEV(logger, to_severity(level))
        << prefixes[static_cast<std::size_t>(part)] << ": " << one_line(sentence);
}

} // namespace persimmonpoint::observe
