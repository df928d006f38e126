#ifndef PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_MERGE_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_MERGE_HPP_INCLUDED

#include <functional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <string>

namespace persimmonpoint {

/// The hosts to go by after the store came back from an older copy: those that it has,
/// and those known before that are alive, which register themselves again.
host_directory merge_live_hosts(
    host_directory stored,
    host_directory const& known,
    std::function<bool(std::string const&)> const& is_alive);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_MEMBERSHIP_HOST_MERGE_HPP_INCLUDED
