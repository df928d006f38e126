#ifndef PERSIMMONPOINT_POSTGRES_QUERY_CLASSIFIER_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_QUERY_CLASSIFIER_HPP_INCLUDED

#include <cstddef>
#include <memory>
#include <persimmonpoint/interfaces/statement_classifier.hpp>

namespace persimmonpoint::postgres {

/// Classifies by the parse tree of libpg_query and remembers the newest texts.
/// Not shared between threads.
class query_classifier final : public statement_classifier {
public:
    /// `capacity`: texts kept; long texts are classified but not kept.
    explicit query_classifier(std::size_t capacity);
    ~query_classifier() override;
    result<std::shared_ptr<classified_query const>>
    classify(std::string_view text) override;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_QUERY_CLASSIFIER_HPP_INCLUDED
