#ifndef PERSIMMONPOINT_NET_RUN_LOOP_HPP_INCLUDED
#define PERSIMMONPOINT_NET_RUN_LOOP_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string_view>

namespace persimmonpoint::net {

/// Logs an exception that reached the edge of `part`.
void log_unexpected(std::string_view part, std::exception const& failure);

/// Runs the loop until it is stopped or has no work left. An exception that a handler
/// lets through ends that handler only: it is logged, and the loop goes on.
void run_loop(boost::asio::io_context& loop, std::string_view name);

/// Calls `action`; false if it threw. What it threw is logged for `part`.
bool run_guarded(std::string_view part, std::function<void()> const& action);

} // namespace persimmonpoint::net

#endif // PERSIMMONPOINT_NET_RUN_LOOP_HPP_INCLUDED
