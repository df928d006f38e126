#ifndef PERSIMMONPOINT_INTERFACES_TABLE_SERVICE_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_TABLE_SERVICE_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <optional>
#include <persimmonpoint/core/error.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< Version of the commit that wrote it; 0 means absent.
};

/// All rows under a prefix, read at one version of the table.
struct table_range {
    std::uint64_t version = 0;
    std::vector<table_row> rows;
};

/// A row must still have this version, or the commit is refused. 0: must be absent.
struct table_condition {
    std::string key;
    std::uint64_t version = 0;
};

struct table_write {
    std::string key;
    std::optional<std::string> value; ///< Nothing removes the row.
};

struct table_commit {
    std::string id; ///< Unique: a repeated commit returns its first result.
    std::vector<table_condition> conditions;
    std::vector<table_write> writes;
};

struct commit_result {
    bool committed = false;
    std::uint64_t version = 0;   ///< Of the commit, when committed.
    std::string conflicting_key; ///< The condition that failed, otherwise.
};

/// The platform's transactional table service.
///
/// Handlers run on the caller's event loop. An error with effect::unknown means that the
/// commit may have taken effect; repeating it with the same id is safe.
class table_service {
public:
    using range_handler = std::function<void(result<table_range>)>;
    using commit_handler = std::function<void(result<commit_result>)>;

    virtual ~table_service() = default;
    virtual void range(std::string_view prefix, range_handler handler) = 0;
    virtual void commit(table_commit const& commit, commit_handler handler) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_TABLE_SERVICE_HPP_INCLUDED
