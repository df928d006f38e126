#ifndef PERSIMMONPOINT_PLATFORM_FLEET_DECODER_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_FLEET_DECODER_HPP_INCLUDED

/// The platform's documents, decoded into the project's types.

#include <optional>
#include <persimmonpoint/core/catalog/database_directory.hpp>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/core/catalog/fleet_configuration.hpp>
#include <persimmonpoint/core/catalog/listed_configuration.hpp>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/interfaces/fleet_store.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint::platform {

/// A configuration, and the entries of its lists that can't be used.
struct decoded_configuration {
    fleet_configuration configuration;
    std::vector<entry_fault> left_out;
};

/// Fails if the body can't be read as a configuration. A route, team or service that
/// can't be used is left out, and the others hold.
result<decoded_configuration> decode_configuration(std::string_view body);

/// The same with its lists in order, for a check of what was written.
result<listed_configuration> decode_listed_configuration(std::string_view body);

/// An entry of the databases' registry. Fails, and names what is wrong, if a field is
/// missing, of another type or out of bounds: such an entry names no database to use.
result<registered_database> decode_database(std::string_view id, std::string_view body);

std::string encode_host(registered_host const& host);
result<registered_host> decode_host(std::string_view name, std::string_view body);

std::string encode_lease(leadership_lease const& lease);
result<leadership_lease> decode_lease(std::string_view body);

std::string encode_notice(fence_notice const& notice);
result<fence_notice> decode_notice(std::string_view body);

std::string encode_base64(std::string_view bytes);
std::optional<std::string> decode_base64(std::string_view text);

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_FLEET_DECODER_HPP_INCLUDED
