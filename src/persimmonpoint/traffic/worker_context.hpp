#ifndef PERSIMMONPOINT_TRAFFIC_WORKER_CONTEXT_HPP_INCLUDED
#define PERSIMMONPOINT_TRAFFIC_WORKER_CONTEXT_HPP_INCLUDED

/// What the sessions of one traffic thread share.

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <persimmonpoint/control/control_snapshot.hpp>
#include <persimmonpoint/core/recovery/retry_budget.hpp>
#include <persimmonpoint/interfaces/control_link.hpp>
#include <persimmonpoint/interfaces/random_source.hpp>
#include <persimmonpoint/interfaces/statement_classifier.hpp>
#include <persimmonpoint/traffic/connection_pool.hpp>
#include <string>
#include <vector>

namespace boost::asio::ssl {
class context;
}

namespace persimmonpoint::traffic {

class admission;

/// Limits and secrets that sessions work under.
struct session_settings {
    std::size_t max_frame = 16 * 1024 * 1024;           ///< Bytes.
    duration startup_timeout{std::chrono::seconds(10)}; ///< Until the key was presented.
    duration statement_timeout{std::chrono::seconds(30)}; ///< Whole life of a request.
    duration silence_probe{std::chrono::seconds(1)};      ///< Without an answer.
    duration idle_in_transaction{std::chrono::seconds(5)};
    std::string token_secret;
    std::string availability_zone;      ///< Of this host.
    bool allow_clear_text_keys = false; ///< Off loopback, without TLS.
};

struct worker_context {
    boost::asio::io_context& loop;
    session_settings const& settings;
    control_link& control;
    admission& limits;
    statement_classifier& classifier;
    random_source& random;
    std::shared_ptr<chart::chart const> session_rules;
    boost::asio::ssl::context* tls = nullptr; ///< Null: TLS is not offered.

    control::snapshot_ptr snapshot;
    /// Pools by group, one for each database, in the order of the group's view.
    std::map<std::string, std::vector<std::shared_ptr<connection_pool>>, std::less<>>
        pools;
    std::map<std::string, retry_budget, std::less<>> retry_budgets;

    group_view const& view_of(std::string_view group) const;
    std::vector<database_load> loads_of(std::string_view group) const;
};

} // namespace persimmonpoint::traffic

#endif // PERSIMMONPOINT_TRAFFIC_WORKER_CONTEXT_HPP_INCLUDED
