#include <array>
#include <boost/algorithm/hex.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <iterator>
#include <persimmonpoint/traffic/ledger.hpp>
#include <sstream>

namespace persimmonpoint::traffic::ledger {

namespace {

upstream_query
make(std::string_view sql, std::vector<std::string_view> const& parameters) {
    constexpr std::uint32_t text_oid = 25;
    upstream_query query;
    query.sql = sql;
    query.sync_after = false;
    for (std::string_view const each : parameters) {
        query.parameters.emplace_back(std::string(each));
        query.parameter_types.push_back(text_oid);
    }
    return query;
}

} // namespace

upstream_query insert(std::string_view id, std::string_view digest) {
    return make(
        "INSERT INTO persimmonpoint_ledger (id, digest, answer) VALUES ($1, $2, '')",
        {id, digest});
}

upstream_query store(std::string_view id, std::string_view answer) {
    return make(
        "UPDATE persimmonpoint_ledger SET answer = $2 WHERE id = $1", {id, answer});
}

upstream_query find(std::string_view id) {
    return make("SELECT digest, answer FROM persimmonpoint_ledger WHERE id = $1", {id});
}

std::optional<entry> parse(std::span<postgres::field const> fields) {
    if (fields.size() != 2 || !fields[0] || !fields[1]) {
        return std::nullopt;
    }
    return entry{std::string(*fields[0]), std::string(*fields[1])};
}

std::string pack(answer_buffer const& answer) {
    bool const fits = answer.rows.size() <= max_stored_rows;
    std::ostringstream bytes;
    {
        cereal::PortableBinaryOutputArchive archive(bytes);
        std::vector<std::uint64_t> const ends(
            answer.row_ends.begin(), answer.row_ends.end());
        archive(
            answer.columns, fits ? answer.rows : std::string(),
            fits ? ends : std::vector<std::uint64_t>(), answer.tag);
    }
    std::string text;
    boost::algorithm::hex_lower(bytes.str(), std::back_inserter(text));
    return text;
}

answer_buffer unpack(std::string_view packed) {
    answer_buffer answer;
    try {
        std::string bytes;
        boost::algorithm::unhex(packed, std::back_inserter(bytes));
        std::istringstream input(bytes);
        cereal::PortableBinaryInputArchive archive(input);
        std::vector<std::uint64_t> ends;
        archive(answer.columns, answer.rows, ends, answer.tag);
        answer.row_ends.assign(ends.begin(), ends.end());
    } catch (std::exception const&) {
        answer.clear(); // Committed, but its answer can't be shown again.
        answer.tag = "COMMIT";
    }
    return answer;
}

std::string stored_commit() {
    answer_buffer answer;
    answer.tag = "COMMIT";
    return pack(answer);
}

} // namespace persimmonpoint::traffic::ledger
