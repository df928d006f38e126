#ifndef PERSIMMONPOINT_PLATFORM_TABLE_JSON_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_TABLE_JSON_HPP_INCLUDED

/// JSON forms of the table service's messages, for the client and for the stand-in.
/// docs/STANDINS.md gives the protocol.

#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/interfaces/host_list.hpp>
#include <persimmonpoint/interfaces/table_service.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::platform {

std::string to_json(table_range const& range);
std::string to_json(table_commit const& commit);
std::string to_json(commit_result const& outcome);
std::string to_json(std::vector<listed_host> const& hosts);

/// Each fails with 58000 if the text has another form.
result<table_range> range_from_json(std::string_view text);
result<table_commit> commit_from_json(std::string_view text);
result<commit_result> commit_result_from_json(std::string_view text);
result<std::vector<listed_host>> hosts_from_json(std::string_view text);

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_TABLE_JSON_HPP_INCLUDED
