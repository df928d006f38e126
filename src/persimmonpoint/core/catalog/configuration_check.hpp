#ifndef PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_CHECK_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_CHECK_HPP_INCLUDED

/// What an operator wants to know of a configuration before it is sent.

#include <persimmonpoint/core/catalog/listed_configuration.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonpoint {

enum class finding_weight {
    error,  ///< Hosts leave the entry out, or it serves nobody.
    warning ///< Hosts take it; it is unlikely to be what was meant.
};

std::string_view to_string(finding_weight weight);

/// One thing that is wrong with a configuration.
struct configuration_finding {
    finding_weight weight = finding_weight::error;
    std::string rule;  ///< Name of the rule, for scripts.
    std::string place; ///< For example "routes/reports".
    std::string text;

    friend bool
    operator==(configuration_finding const&, configuration_finding const&) = default;
};

/// All findings, in the order of the rules.
std::vector<configuration_finding>
check_configuration(listed_configuration const& checked);

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_CATALOG_CONFIGURATION_CHECK_HPP_INCLUDED
