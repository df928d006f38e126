#ifndef PERSIMMONPOINT_ENGINE_MESSAGE_CHECK_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_MESSAGE_CHECK_HPP_INCLUDED

#include <persimmonpoint/engine/peer_messages.hpp>

namespace persimmonpoint::engine {

/// True if every field of the message holds a value that a host may send: names are
/// words, fields of a statement hold nothing that ends them (core/statement/field_rules),
/// waiting times are within their bounds.
bool is_well_formed(peer_message const& message);

/// Removes entries that can't be used, for example those that a host of an earlier build
/// passed on, and logs them.
void remove_unusable(database_directory& directory);
void remove_unusable(host_directory& hosts);

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_MESSAGE_CHECK_HPP_INCLUDED
