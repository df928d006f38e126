#ifndef PERSIMMONPOINT_CONTROL_CONTROL_SNAPSHOT_HPP_INCLUDED
#define PERSIMMONPOINT_CONTROL_CONTROL_SNAPSHOT_HPP_INCLUDED

/// State of control as traffic reads it. Made anew for each change, never altered.

#include <map>
#include <memory>
#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/routing/group_view.hpp>
#include <string>

namespace persimmonpoint::control {

struct control_snapshot {
    std::shared_ptr<catalog const> configuration;
    std::map<std::string, std::shared_ptr<group_view const>, std::less<>> groups;
    bool draining = false; ///< This host takes no new callers.
};

using snapshot_ptr = std::shared_ptr<control_snapshot const>;

} // namespace persimmonpoint::control

#endif // PERSIMMONPOINT_CONTROL_CONTROL_SNAPSHOT_HPP_INCLUDED
