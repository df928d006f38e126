#ifndef PERSIMMONPOINT_ENGINE_LEADERSHIP_KEEPER_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_LEADERSHIP_KEEPER_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <persimmonpoint/core/recovery/leadership_change.hpp>
#include <persimmonpoint/core/recovery/lease_policy.hpp>
#include <persimmonpoint/engine/commit_guard.hpp>
#include <persimmonpoint/engine/database_owner.hpp>
#include <persimmonpoint/engine/statement_run.hpp>
#include <string>

namespace persimmonpoint::engine {

/// What the keeper asks of the control thread. Handlers run on the traffic thread.
class leadership_authority {
public:
    virtual ~leadership_authority() = default;
    /// A fencing token for the group; nothing if it can't be had now.
    virtual void request_token(
        std::string const& group,
        token_freshness need,
        std::function<void(std::optional<std::uint64_t>)> done) = 0;
    virtual void promote(
        std::string const& group,
        std::string const& database,
        std::uint64_t token,
        std::function<void(promotion_result)> done) = 0;
    /// Has the directory read from the store, beside the regular readings.
    virtual void read_directory() = 0;
};

/// Watches the primaries whose connections this host owns, and replaces those that died
/// or are leaving.
class leadership_keeper final : public owner_observer {
public:
    leadership_keeper(
        run_context& context, leadership_authority& authority, commit_guard& guard);
    ~leadership_keeper() override;
    void start(peer_mesh& mesh);

    /// Can this host reach the database? Asked by other hosts.
    void probe(std::string const& database, std::function<void(bool)> done);

    void on_answer(std::string const& database) override;
    void on_refused(std::string const& database) override;
    void on_silent(std::string const& database) override;
    void on_commit_sent(std::string const& database, instant sent_at) override;
    void on_commit_ended(
        std::string const& database, instant sent_at, commit_end how) override;
    void on_commit_acknowledged(
        std::string const& database,
        instant sent_at,
        std::optional<log_position> reached) override;

    std::uint64_t changes_finished() const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_LEADERSHIP_KEEPER_HPP_INCLUDED
