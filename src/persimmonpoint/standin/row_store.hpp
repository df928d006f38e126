#ifndef PERSIMMONPOINT_STANDIN_ROW_STORE_HPP_INCLUDED
#define PERSIMMONPOINT_STANDIN_ROW_STORE_HPP_INCLUDED

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonpoint::standin {

enum class store_fault {
    none,
    unavailable, ///< Answers 503 and does nothing.
    silent,      ///< Does nothing and doesn't answer.
    answer_lost  ///< Does what was asked and doesn't answer.
};

/// A small store of rows that speaks the users' platform's published calls, and takes its
/// promotion call. Used from its loop's thread, but for the fault, which any may set.
class row_store {
public:
    /// Status of a promotion: 200 or 409.
    using promote_handler = std::function<unsigned(
        std::string const& group, std::string const& database, std::uint64_t token)>;

    row_store(boost::asio::io_context& loop, promote_handler on_promote);
    ~row_store();

    std::uint16_t port() const;
    /// Writes a row as the operator or a database does.
    void put(std::string const& table, std::string const& key, std::string const& value);
    void remove(std::string const& table, std::string const& key);
    /// Promotions are not touched by it.
    void set_fault(store_fault fault);
    /// Every second promotion gets no answer and is carried out this much later, with its
    /// fence checked then; none is if the delay is zero.
    void set_promotion_delay(std::chrono::milliseconds delay);
    /// While they are held, transactions wait and readings are answered.
    void hold_transactions();
    void release_transactions();
    /// The watches that wait now get no answer, and their connections stay open.
    void silence_watches();
    /// Drops the history: watches from before it are answered that it is gone.
    void drop_history();
    /// Called after each answer to a reading that was cut, before the next page is asked
    /// for.
    void set_page_hook(std::function<void()> hook);
    /// Keeps a copy of all rows, for `restore`.
    void keep_copy();
    /// Comes back from the copy: its rows and version, and the next era.
    void restore();
    std::uint64_t calls() const;
    /// How often a table was read; each page counts, watches don't.
    std::size_t reads_of(std::string const& table) const;
    /// Transactions that were carried out.
    std::size_t transactions() const;
    /// Rows that a table has.
    std::size_t rows_of(std::string const& table) const;

private:
    struct implementation;
    std::shared_ptr<implementation> impl;
};

} // namespace persimmonpoint::standin

#endif // PERSIMMONPOINT_STANDIN_ROW_STORE_HPP_INCLUDED
