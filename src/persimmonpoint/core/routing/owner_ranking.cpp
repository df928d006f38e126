#include <algorithm>
#include <persimmonpoint/core/routing/owner_ranking.hpp>
#include <tuple>

namespace persimmonpoint {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

/// Continues a 64-bit FNV-1a hash with `text`.
std::uint64_t fnv1a(std::uint64_t hash, std::string_view text) {
    for (char const each : text) {
        hash ^= static_cast<unsigned char>(each);
        hash *= fnv_prime;
    }
    return hash;
}

/// The 64-bit finalizer of MurmurHash3: spreads the last characters over all bits.
std::uint64_t fmix64(std::uint64_t hash) {
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

std::uint64_t rendezvous_weight(std::string_view key, std::string_view host) {
    std::uint64_t const key_hash = fnv1a(fnv_offset, key);
    // The multiplication hashes a zero byte between key and host, which separates them.
    return fmix64(fnv1a(key_hash * fnv_prime, host));
}

std::vector<std::string> rank_owners(
    std::string_view key,
    std::string_view availability_zone,
    std::span<registered_host const> hosts) {
    using entry = std::tuple<bool, std::uint64_t, std::string_view>;
    std::vector<entry> entries;
    entries.reserve(hosts.size());
    for (registered_host const& each : hosts) {
        entries.emplace_back(
            each.availability_zone == availability_zone,
            rendezvous_weight(key, each.name), each.name);
    }
    std::sort(entries.begin(), entries.end(), std::greater<>());
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (entry const& each : entries) {
        names.emplace_back(std::get<2>(each));
    }
    return names;
}

} // namespace persimmonpoint
