#include <array>
#include <cstdio>
#include <ctime>
#include <persimmonpoint/report/report_format.hpp>

namespace persimmonpoint::report {

std::string number(double value, int digits) {
    std::array<char, 64> text{};
    int const length = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return std::string(text.data(), static_cast<std::size_t>(length));
}

std::string percent(double share, int digits) {
    return number(share * 100, digits) + " %";
}

std::string time_text(std::chrono::seconds since_1970) {
    std::time_t const moment = since_1970.count();
    std::tm parts{};
    gmtime_r(&moment, &parts);
    std::array<char, 32> text{};
    std::size_t const length =
        std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return std::string(text.data(), length);
}

} // namespace persimmonpoint::report
