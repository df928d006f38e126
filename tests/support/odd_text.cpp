#include <array>
#include <support/odd_text.hpp>

namespace persimmonpoint::tests {

namespace {

constexpr std::array<char const*, 22> words = {
    {"READ",   "WRITE", "AFTER",    "3.1",   "EXECUTE",  "QUERY",   "PREPARE", "BEGIN",
     "COMMIT", "RESET", "p1",       "p2",    "w_q1",     "r_q1",    "q1",      "-",
     "\t\v\f", "\x01",  "\x1b\x7f", "'\"\\", "\x80\xff", "\xc3\xa9"}};
constexpr std::size_t most_words = 4;
constexpr std::size_t most_blanks = 3;

std::size_t draw(std::mt19937_64& random, std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random);
}

std::string blanks(std::mt19937_64& random, std::size_t least) {
    return std::string(draw(random, least, most_blanks), ' ');
}

/// None in two of three cases.
std::string outer_blanks(std::mt19937_64& random) {
    return draw(random, 0, 2) == 0 ? blanks(random, 1) : std::string();
}

} // namespace

std::string odd_word(std::mt19937_64& random) {
    std::string word = words[draw(random, 0, words.size() - 1)];
    if (draw(random, 0, 3) == 0) {
        word += words[draw(random, 0, words.size() - 1)];
    }
    return word;
}

std::string odd_text(std::mt19937_64& random) {
    std::string text = outer_blanks(random) + odd_word(random);
    for (std::size_t count = draw(random, 1, most_words); count > 1; --count) {
        text += blanks(random, 1);
        text += odd_word(random);
    }
    return text + outer_blanks(random);
}

} // namespace persimmonpoint::tests
