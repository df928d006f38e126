#ifndef PERSIMMONPOINT_CORE_CATALOG_DIRECTORY_CHANGES_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_DIRECTORY_CHANGES_HPP_INCLUDED

#include <map>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <string>

namespace persimmonpoint {

using listed_databases = std::map<std::string, registered_database, std::less<>>;

/// What changed of the databases, for logs: for example "db-1 gone, db-2 leaving,
/// db-3 new, db-4 started again". Empty if nothing of that kind did.
std::string
describe_changes(listed_databases const& before, listed_databases const& after);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_DIRECTORY_CHANGES_HPP_INCLUDED
