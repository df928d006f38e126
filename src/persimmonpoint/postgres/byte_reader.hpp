#ifndef PERSIMMONPOINT_POSTGRES_BYTE_READER_HPP_INCLUDED
#define PERSIMMONPOINT_POSTGRES_BYTE_READER_HPP_INCLUDED

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <string_view>

namespace persimmonpoint::postgres {

/// Reads big-endian fields off a frame's body. After the first field that doesn't fit,
/// ok() is false and every further field reads as zero or empty.
class byte_reader {
public:
    explicit byte_reader(std::string_view body) : body(body) {}

    bool ok() const { return this->good; }
    bool at_end() const { return this->body.empty(); }
    std::size_t remaining() const { return this->body.size(); }

    template <class T>
    T integer() {
        std::string_view const field = this->bytes(sizeof(T));
        if (field.empty()) {
            return T{};
        }
        return boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(
            reinterpret_cast<unsigned char const*>(field.data()));
    }

    std::string_view bytes(std::size_t count) {
        if (!this->good || count > this->body.size()) {
            this->good = false;
            return {};
        }
        std::string_view const field = this->body.substr(0, count);
        this->body.remove_prefix(count);
        return field;
    }

    /// A string up to its terminating zero, which is skipped.
    std::string_view c_string() {
        std::size_t const end = this->body.find('\0');
        if (!this->good || end == std::string_view::npos) {
            this->good = false;
            return {};
        }
        std::string_view const field = this->body.substr(0, end);
        this->body.remove_prefix(end + 1);
        return field;
    }

private:
    std::string_view body;
    bool good = true;
};

} // namespace persimmonpoint::postgres

#endif // PERSIMMONPOINT_POSTGRES_BYTE_READER_HPP_INCLUDED
