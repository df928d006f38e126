#ifndef PERSIMMONPOINT_INTERFACES_STATEMENT_CLASSIFIER_HPP_INCLUDED
#define PERSIMMONPOINT_INTERFACES_STATEMENT_CLASSIFIER_HPP_INCLUDED

#include <memory>
#include <persimmonpoint/core/error.hpp>
#include <persimmonpoint/core/routing/statement_class.hpp>
#include <string_view>
#include <vector>

namespace persimmonpoint {

using classified_query = std::vector<classified_statement>;

/// Splits a query text into statements and classifies each.
class statement_classifier {
public:
    virtual ~statement_classifier() = default;
    /// Fails with 42601 if the text is not SQL.
    virtual result<std::shared_ptr<classified_query const>>
    classify(std::string_view text) = 0;
};

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_INTERFACES_STATEMENT_CLASSIFIER_HPP_INCLUDED
