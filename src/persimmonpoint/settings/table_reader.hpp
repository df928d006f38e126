#ifndef PERSIMMONPOINT_SETTINGS_TABLE_READER_HPP_INCLUDED
#define PERSIMMONPOINT_SETTINGS_TABLE_READER_HPP_INCLUDED

#include <cstdint>
#include <persimmonpoint/core/catalog/catalog.hpp>
#include <persimmonpoint/core/time.hpp>
#include <persimmonpoint/settings/finding.hpp>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace persimmonpoint::settings {

/// Reads typed values out of one table of a settings file. Whatever doesn't fit becomes a
/// finding; a key that nobody asked for is one too.
class table_reader {
public:
    table_reader(
        toml::table const& table,
        std::string path,
        std::string file,
        std::vector<finding>& findings);

    /// Each leaves the value as it is if the key is absent or doesn't fit.
    void text(std::string_view key, std::string& value);
    void boolean(std::string_view key, bool& value);
    void integer(
        std::string_view key, std::size_t& value, std::int64_t least, std::int64_t most);
    void port(std::string_view key, std::uint16_t& value);
    void number(std::string_view key, double& value, double least, double most);
    /// "250ms", "2s", "1min", "1h"
    void
    length_of_time(std::string_view key, duration& value, duration least, duration most);
    /// "512KiB", "16MiB"
    void
    size(std::string_view key, std::size_t& value, std::size_t least, std::size_t most);
    void labels(std::string_view key, label_set& value);
    /// An IP number.
    void address(std::string_view key, std::string& value);
    /// Letters, digits, '-', '_' and '.'; must be there.
    void name(std::string_view key, std::string& value);

    void require(std::string_view key);
    void report(std::string_view key, std::string message);
    /// Tells of every key that was not read.
    void finish();

private:
    toml::node const* take(std::string_view key);
    std::string path_of(std::string_view key) const;

    toml::table const& table;
    std::string path;
    std::string file;
    std::vector<finding>& findings;
    std::set<std::string, std::less<>> known;
};

} // namespace persimmonpoint::settings

#endif // PERSIMMONPOINT_SETTINGS_TABLE_READER_HPP_INCLUDED
