#ifndef PERSIMMONPOINT_CORE_ROUTING_PREPARED_NAMES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ROUTING_PREPARED_NAMES_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <persimmonpoint/core/statement/statement.hpp>

namespace persimmonpoint {

/// Name of a prepared statement on one connection to a database.
struct prepared_name {
    std::uint64_t number = 0; ///< 0: no name.

    friend bool operator==(prepared_name const&, prepared_name const&) = default;
};

/// The statements that a connection to a database has prepared, by shape.
///
/// The connection numbers them itself: no text of a caller is part of a name. A number is
/// never used again on the connection, so that the name of a dropped statement can't
/// stand for a later one.
class prepared_names {
public:
    /// Nothing if the shape isn't prepared.
    std::optional<prepared_name> find(prepared_shape const& shape) const;
    /// The name under which the next shape is to be prepared.
    prepared_name next() const { return {this->last_number + 1}; }
    /// Records that the database has prepared the shape under next().
    void add_next(prepared_shape shape);
    /// The database no longer knows any name.
    void clear();

    std::size_t size() const { return this->names.size(); }
    /// Bytes of the shapes.
    std::size_t bytes() const { return this->shape_bytes; }

private:
    std::map<prepared_shape, prepared_name> names;
    std::uint64_t last_number = 0;
    std::size_t shape_bytes = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ROUTING_PREPARED_NAMES_HPP_INCLUDED
