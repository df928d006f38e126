#ifndef PERSIMMONPOINT_ENGINE_PEER_ARCHIVE_HPP_INCLUDED
#define PERSIMMONPOINT_ENGINE_PEER_ARCHIVE_HPP_INCLUDED

/// Reads messages that cereal's portable binary archive wrote, and trusts nothing in
/// them.

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace persimmonpoint::engine {

/// Input archive over bytes in memory. Where cereal's own allocates what a length field
/// asks for, this one throws `cereal::Exception` unless as many bytes are left.
class peer_input_archive
    : public cereal::InputArchive<peer_input_archive, cereal::AllowEmptyClassElision> {
public:
    explicit peer_input_archive(std::string_view bytes)
        : InputArchive(this), rest(bytes) {
        static_assert(
            std::endian::native == std::endian::little,
            "messages are written in the byte order of the host");
        std::uint8_t little_endian = 0;
        this->load_bytes(&little_endian, sizeof(little_endian));
        if (little_endian != 1) {
            throw cereal::Exception("message of another byte order");
        }
    }

    void load_bytes(void* target, std::size_t size) {
        this->require(size);
        std::memcpy(target, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    /// Each element of a list takes a byte or more.
    void require(std::uint64_t count) const {
        if (count > this->rest.size()) {
            throw cereal::Exception("message is shorter than it says");
        }
    }

    bool at_end() const { return this->rest.empty(); }

private:
    std::string_view rest;
};

} // namespace persimmonpoint::engine

namespace cereal::traits::detail {

/// Names the archive that writes what `peer_input_archive` reads.
template <>
struct get_output_from_input<persimmonpoint::engine::peer_input_archive> {
    using type = PortableBinaryOutputArchive;
};

} // namespace cereal::traits::detail

namespace persimmonpoint::engine {

// Found by cereal through the namespace of the archive.

template <class Number>
requires std::is_arithmetic_v<Number>
void load(peer_input_archive& archive, Number& value) {
    archive.load_bytes(&value, sizeof(value));
}

/// Any other byte than 0 and 1 in a bool is undefined behaviour.
inline void load(peer_input_archive& archive, bool& value) {
    std::uint8_t byte = 0;
    archive.load_bytes(&byte, sizeof(byte));
    if (byte > 1) {
        throw cereal::Exception("message with a truth value of neither 0 nor 1");
    }
    value = byte == 1;
}

template <class Value>
void serialize(peer_input_archive& archive, cereal::NameValuePair<Value>& pair) {
    archive(pair.value);
}

template <class Size>
void serialize(peer_input_archive& archive, cereal::SizeTag<Size>& tag) {
    archive(tag.size);
    archive.require(tag.size);
}

template <class Data>
void load(peer_input_archive& archive, cereal::BinaryData<Data>& data) {
    archive.load_bytes(data.data, static_cast<std::size_t>(data.size));
}

/// Elements are made one by one, so that memory is bounded by the bytes that arrived.
template <class Element>
void load(peer_input_archive& archive, std::vector<Element>& list) {
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    list.clear();
    for (cereal::size_type i = 0; i < count; ++i) {
        archive(list.emplace_back());
    }
}

/// Reads or writes an enumerator; throws for a value behind `last`.
template <class Archive, class Enum>
void archive_enum(Archive& archive, Enum& value, Enum last) {
    archive(value);
    if (value < Enum{} || value > last) {
        throw cereal::Exception("message with an unknown enumerator");
    }
}

} // namespace persimmonpoint::engine

#endif // PERSIMMONPOINT_ENGINE_PEER_ARCHIVE_HPP_INCLUDED
