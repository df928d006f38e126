#ifndef PERSIMMONPOINT_CORE_ERROR_HPP_INCLUDED
#define PERSIMMONPOINT_CORE_ERROR_HPP_INCLUDED

/// Error type with SQLSTATE, and the result type that carries it.

#include <boost/outcome/outcome.hpp>
#include <string>

namespace persimmonpoint {

/// Whether a failed request may have been executed.
enum class effect {
    not_run, ///< Guaranteed: no database executed it.
    unknown  ///< It may have been executed.
};

/// An error as it is reported to the client.
struct error {
    std::string sqlstate; ///< Five-character code from PostgreSQL's appendix A.
    std::string message;  ///< Names the object that caused the error.
    effect known_effect = effect::not_run;
    std::string hint = {}; ///< Suggested remedy; may be empty.
};

template <class T>
using result = boost::outcome_v2::unchecked<T, error>;

/// Text of the effect in the DETAIL field of an error response.
inline char const* to_string(effect value) {
    return value == effect::not_run ? "not run" : "outcome unknown";
}

} // namespace persimmonpoint

#endif // PERSIMMONPOINT_CORE_ERROR_HPP_INCLUDED
