#include <persimmonpoint/settings/finding.hpp>

namespace persimmonpoint {

std::string to_string(finding const& value) {
    std::string text = value.file;
    if (value.line != 0) {
        text += ":" + std::to_string(value.line) + ":" + std::to_string(value.column);
    }
    if (!value.key.empty()) {
        text += ": " + value.key;
    }
    return text + ": " + value.message;
}

} // namespace persimmonpoint
