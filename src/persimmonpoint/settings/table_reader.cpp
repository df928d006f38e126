#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <persimmonpoint/settings/table_reader.hpp>
#include <persimmonpoint/traffic/session_parameters.hpp>

namespace persimmonpoint::settings {

namespace {

std::optional<std::size_t> parse_size(std::string_view text) {
    std::size_t number = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc()) {
        return std::nullopt;
    }
    std::string_view const unit =
        text.substr(static_cast<std::size_t>(end - text.data()));
    constexpr std::size_t kibibyte = 1024;
    if (unit == "KiB") {
        return number * kibibyte;
    }
    if (unit == "MiB") {
        return number * kibibyte * kibibyte;
    }
    return std::nullopt;
}

std::string in_milliseconds(duration value) {
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(value).count()) +
           "ms";
}

bool is_name(std::string_view text) {
    return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

} // namespace

table_reader::table_reader(
    toml::table const& table,
    std::string path,
    std::string file,
    std::vector<finding>& findings)
    : table(table), path(std::move(path)), file(std::move(file)), findings(findings) {}

void table_reader::text(std::string_view key, std::string& value) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const found = node->value_exact<std::string>();
    if (!found) {
        this->report(key, "takes a string");
        return;
    }
    value = *found;
}

void table_reader::boolean(std::string_view key, bool& value) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const found = node->value_exact<bool>();
    if (!found) {
        this->report(key, "takes true or false");
        return;
    }
    value = *found;
}

void table_reader::integer(
    std::string_view key, std::size_t& value, std::int64_t least, std::int64_t most) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const found = node->value_exact<std::int64_t>();
    if (!found || *found < least || *found > most) {
        this->report(
            key, "takes a whole number from " + std::to_string(least) + " to " +
                     std::to_string(most));
        return;
    }
    value = static_cast<std::size_t>(*found);
}

void table_reader::port(std::string_view key, std::uint16_t& value) {
    constexpr std::int64_t last_port = 65535;
    std::size_t number = value;
    this->integer(key, number, 0, last_port);
    value = static_cast<std::uint16_t>(number);
}

void table_reader::number(
    std::string_view key, double& value, double least, double most) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const found = node->value<double>();
    if (!found || !(*found >= least && *found <= most)) {
        this->report(
            key, "takes a number from " + std::to_string(least) + " to " +
                     std::to_string(most));
        return;
    }
    value = *found;
}

void table_reader::length_of_time(
    std::string_view key, duration& value, duration least, duration most) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const written = node->value_exact<std::string>();
    bool const has_unit = written && !written->empty() &&
                          std::isalpha(static_cast<unsigned char>(written->back())) != 0;
    auto const found = has_unit ? traffic::parse_duration(*written) : std::nullopt;
    if (!found || *found < least || *found > most) {
        this->report(
            key, "takes a duration such as \"250ms\" or \"2s\", from " +
                     in_milliseconds(least) + " to " + in_milliseconds(most));
        return;
    }
    value = *found;
}

void table_reader::size(
    std::string_view key, std::size_t& value, std::size_t least, std::size_t most) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    auto const written = node->value_exact<std::string>();
    auto const found = written ? parse_size(*written) : std::nullopt;
    if (!found || *found < least || *found > most) {
        this->report(
            key, "takes a size such as \"512KiB\" or \"16MiB\", from " +
                     std::to_string(least) + " to " + std::to_string(most) + " bytes");
        return;
    }
    value = *found;
}

void table_reader::labels(std::string_view key, label_set& value) {
    toml::node const* node = this->take(key);
    if (node == nullptr) {
        return;
    }
    toml::table const* entries = node->as_table();
    if (entries == nullptr) {
        this->report(key, "takes a table of labels");
        return;
    }
    for (auto const& [label, content] : *entries) {
        auto const text = content.value_exact<std::string>();
        if (!text) {
            this->report(
                std::string(key) + "." + std::string(label.str()),
                "a label's value is a string");
            continue;
        }
        value[std::string(label.str())] = *text;
    }
}

void table_reader::address(std::string_view key, std::string& value) {
    std::string written = value;
    this->text(key, written);
    boost::system::error_code failure;
    boost::asio::ip::make_address(written, failure);
    if (failure) {
        this->report(key, "takes an IP number, not \"" + written + "\"");
        return;
    }
    value = written;
}

void table_reader::name(std::string_view key, std::string& value) {
    this->require(key);
    std::string written;
    this->text(key, written);
    if (!written.empty() && !is_name(written)) {
        this->report(
            key, "\"" + written +
                     "\" has other characters than letters, digits, '-', '_', '.'");
        return;
    }
    value = written;
}

void table_reader::require(std::string_view key) {
    if (!this->table.contains(key)) {
        this->report(key, "is missing");
    }
}

void table_reader::report(std::string_view key, std::string message) {
    toml::node const* node = this->table.get(key);
    toml::source_region const& place =
        node != nullptr ? node->source() : this->table.source();
    this->findings.push_back(finding{
        this->file, place.begin.line, place.begin.column, this->path_of(key),
        std::move(message)});
}

void table_reader::finish() {
    for (auto const& [key, node] : this->table) {
        if (!this->known.contains(key.str())) {
            this->report(key.str(), "is not a known key");
        }
    }
}

toml::node const* table_reader::take(std::string_view key) {
    this->known.emplace(key);
    return this->table.get(key);
}

std::string table_reader::path_of(std::string_view key) const {
    return this->path.empty() ? std::string(key) : this->path + "." + std::string(key);
}

} // namespace persimmonpoint::settings
