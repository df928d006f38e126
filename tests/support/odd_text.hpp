#ifndef PERSIMMONPOINT_TESTS_SUPPORT_ODD_TEXT_HPP_INCLUDED
#define PERSIMMONPOINT_TESTS_SUPPORT_ODD_TEXT_HPP_INCLUDED

#include <random>
#include <string>

namespace persimmonpoint::tests {

/// A field without blanks that is easily taken for something else: a word of the
/// protocol, a name of the system's own, control characters, bytes above 127. Never
/// empty.
std::string odd_word(std::mt19937_64& random);
/// Several of them with blanks between, before and behind. Never empty.
std::string odd_text(std::mt19937_64& random);

} // namespace persimmonpoint::tests

#endif // PERSIMMONPOINT_TESTS_SUPPORT_ODD_TEXT_HPP_INCLUDED
