#ifndef PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonpoint::standin {

/// A group of replicated databases that speak the platform's line protocol. A commit is
/// acknowledged once one copy beside the primary has it; it waits until then.
///
/// Each promotion is checked when it takes effect: a commit that was acknowledged must be
/// in the log of the database that is promoted.
///
/// A READ answers two rows: the item's data, and the values of the session that it ran
/// in. Used from its loop's thread.
///
/// What can't be read as a statement is answered with MALFORMED.
class line_group {
public:
    line_group(boost::asio::io_context& loop, std::string name, std::size_t databases);
    ~line_group();

    std::vector<std::string> ids() const;
    std::string address(std::string const& id) const;
    std::string leader() const;
    std::uint64_t term() const;
    /// Another database with this one's log; its id.
    std::string add_copy_of(std::string const& id);
    /// The platform's promotion. False if the database isn't running.
    bool promote(std::string const& id);
    /// From the call to the moment at which the database leads; none unless it is set. A
    /// database that dies in between isn't promoted.
    void set_promotion_delay(std::chrono::milliseconds delay);
    /// Called when another database leads.
    void set_promotion_hook(std::function<void()> hook);

    /// Refuses connections and breaks those that are open.
    void kill(std::string const& id);
    /// Comes back as a replica if another leads, else as it was.
    void revive(std::string const& id);
    /// Runs the next write or commit, or the next read, and breaks the connection instead
    /// of answering.
    void lose_next_answer(std::string const& id, bool of_a_write);
    /// A replica receives nothing while it is deaf.
    void set_deaf(std::string const& id, bool deaf);
    /// Each request takes this much longer.
    void set_delay(std::string const& id, std::chrono::milliseconds delay);
    /// Takes requests and answers nothing.
    void set_silent(std::string const& id, bool silent);

    /// No copy receives anything from this database, and it receives nothing. It lives
    /// and answers.
    void set_isolated(std::string const& id, bool isolated);
    /// No link to the databases that there are when it begins; one that joins later has
    /// its link. It lives and answers.
    void set_cut(std::string const& id, bool cut);
    /// Every second STATUS, PAUSE and RESUME gets no answer and is carried out this much
    /// later, unless the database dies before; none are if the delay is zero.
    void set_order_delay(std::string const& id, std::chrono::milliseconds delay);
    /// Called when a database carries out a PAUSE or RESUME, with the text of it.
    using order_hook =
        std::function<void(std::string const& id, std::string const& text)>;
    void set_order_hook(order_hook hook);

    /// Replicas that live and that a PAUSE holds.
    std::vector<std::string> held() const;

    /// Another database at the time of a promotion that dropped commits.
    struct commit_holder {
        std::string id;
        std::size_t commits = 0; ///< Of those that were dropped.
        bool alive = false;
    };
    /// A promotion that dropped commits which had been acknowledged.
    struct lossy_promotion {
        std::string database;
        std::uint64_t term = 0;
        std::size_t missing = 0;
        std::vector<commit_holder> holders;
    };
    /// In order. Each commit counts at the first promotion that drops it.
    std::vector<lossy_promotion> lossy_promotions() const;

    /// A write that the log of a promoted database lacked, whether or not it was
    /// acknowledged.
    struct dropped_write {
        std::string item;
        std::string data;
        std::string database; ///< The promoted one.
        std::uint64_t term = 0;
        std::chrono::steady_clock::time_point at; ///< When it was promoted.
    };
    /// In order. Each commit counts at the first promotion that drops it.
    std::vector<dropped_write> dropped_writes() const;

    /// Data of an item in the log of the primary; empty if there is none.
    std::string data(std::string const& item) const;
    /// Times that a write of this data took effect in the primary's log.
    std::size_t times_written(std::string const& item, std::string const& data) const;
    struct item_write {
        std::string item;
        std::string data;
        std::uint64_t term = 0; ///< Of the primary that ran it.
    };
    /// All writes in the primary's log, the oldest first.
    std::vector<item_write> writes() const;
    /// When reads and writes of a team ran, on any of the databases, in order.
    std::vector<std::chrono::steady_clock::time_point>
    runs_of(std::string const& team) const;
    /// Teams named on connections, with the number of these.
    std::map<std::string, std::size_t> teams() const;

    using session_values = std::map<std::string, std::string>;
    /// What a prepared statement's name stands for.
    struct prepared_statement {
        bool writes = false;
        std::string shape;
    };
    /// A read, a write, an EXECUTE or a COMMIT that one of the databases ran.
    struct ran_statement {
        std::string id;
        std::string text; ///< As it came, without an AFTER before it.
        std::string database{};
        std::string team{};
        std::optional<prepared_statement> prepared{}; ///< Of an EXECUTE.
        /// Of an EXECUTE, all that follows the blank behind the name.
        std::string arguments{};
        /// In force when it ran; shared by what ran with the same. Never null.
        std::shared_ptr<session_values const> values{};
    };
    /// Since the start, in order. It isn't bounded: it is meant for runs of a minute.
    std::vector<ran_statement> const& ran() const;

    /// Shared with the sessions; defined in the source only.
    struct implementation;

private:
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED
