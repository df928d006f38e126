#ifndef PERSIMMONPOINT_PLATFORM_FIELD_READER_HPP_INCLUDED
#define PERSIMMONPOINT_PLATFORM_FIELD_READER_HPP_INCLUDED

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <persimmonpoint/core/catalog/entry_rules.hpp>
#include <persimmonpoint/core/time.hpp>
#include <string>
#include <string_view>

namespace persimmonpoint::platform {

/// Parses the text of a JSON object. Nothing if it is another value, too deeply nested or
/// no JSON.
std::optional<boost::json::object> parse_object(std::string_view text);

/// Reads the fields of one JSON object and checks each against its bounds. A field that
/// doesn't fit reads as zero or empty; the first such field is kept as the fault.
class field_reader {
public:
    /// `object` must outlive the reader.
    explicit field_reader(boost::json::object const& object);

    /// A text of at most `max_bytes`.
    std::string text(std::string_view name, std::size_t max_bytes = max_name_bytes);
    /// A text that the line protocol can carry as one word.
    std::string word(std::string_view name);
    /// A whole number; fractions and numbers above 64 bits don't fit.
    std::uint64_t number(std::string_view name, number_range range = {});
    std::uint64_t optional_number(std::string_view name, number_range range = {});
    /// A finite number from 0 to `most`.
    double decimal(std::string_view name, double most);
    /// Milliseconds, fractions allowed, from 0 to `most`.
    duration milliseconds(std::string_view name, duration most);
    /// An absent field reads as zero, without a fault.
    duration optional_milliseconds(std::string_view name, duration most);
    /// False if it is absent or no truth value.
    bool optional_flag(std::string_view name) const;
    /// Empty if it is no list.
    boost::json::array const& list(std::string_view name);
    /// Address of a server that can be connected to: IP number and port.
    std::string address(std::string_view name);

    bool has(std::string_view name) const;
    /// Records a fault unless there is one.
    void fail(std::string_view name, std::string reason);
    std::optional<field_fault> const& fault() const { return this->first_fault; }

private:
    boost::json::value const* find(std::string_view name) const;

    boost::json::object const& object;
    std::optional<field_fault> first_fault;
};

} // namespace persimmonpoint::platform

#endif // PERSIMMONPOINT_PLATFORM_FIELD_READER_HPP_INCLUDED
