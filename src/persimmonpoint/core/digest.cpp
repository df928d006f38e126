#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <persimmonpoint/core/digest.hpp>
#include <span>

namespace persimmonpoint {

namespace {

/// Hexadecimal digits of a digest in a log.
constexpr std::size_t log_digest_digits = 16;

std::string to_hex(std::span<unsigned char const> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

unsigned char const* bytes_of(std::string_view text) {
    return reinterpret_cast<unsigned char const*>(text.data());
}

} // namespace

std::string hmac_sha256(std::string_view secret, std::string_view message) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(
        EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes_of(message),
        message.size(), digest.data(), &length);
    return to_hex(std::span(digest).first(length));
}

std::string sha256(std::string_view message) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(
        message.data(), message.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return to_hex(std::span(digest).first(length));
}

std::string log_digest(std::string_view text) {
    return sha256(text).substr(0, log_digest_digits);
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace persimmonpoint
