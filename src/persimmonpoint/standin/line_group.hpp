#ifndef PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonpoint::standin {

/// A group of replicated databases that speak the platform's line protocol. A commit is
/// acknowledged once one copy beside the primary has it; it waits until then.
///
/// A READ answers two rows: the item's data, and the values of the session that it ran
/// in. Used from its loop's thread.
class line_group {
public:
    line_group(boost::asio::io_context& loop, std::string name, std::size_t databases);
    ~line_group();

    std::vector<std::string> ids() const;
    std::string address(std::string const& id) const;
    std::string leader() const;
    std::uint64_t term() const;
    /// The platform's promotion. False if the database isn't running.
    bool promote(std::string const& id);

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

    /// Data of an item in the log of the primary; empty if there is none.
    std::string data(std::string const& item) const;
    /// Times that a write of this data took effect in the primary's log.
    std::size_t times_written(std::string const& item, std::string const& data) const;
    struct item_write {
        std::string item;
        std::string data;
    };
    /// All writes in the primary's log, the oldest first.
    std::vector<item_write> writes() const;
    /// When reads and writes of a team ran, on any of the databases, in order.
    std::vector<std::chrono::steady_clock::time_point>
    runs_of(std::string const& team) const;
    /// Teams named on connections, with the number of these.
    std::map<std::string, std::size_t> teams() const;

    /// Shared with the sessions; defined in the source only.
    struct implementation;

private:
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_LINE_GROUP_HPP_INCLUDED
