#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <persimmonpoint/engine/message_check.hpp>
#include <persimmonpoint/engine/peer_archive.hpp>
#include <persimmonpoint/engine/peer_messages.hpp>
#include <sstream>

namespace persimmonpoint {

// Found by cereal through the namespace of the types.

template <class Archive>
void serialize(Archive& archive, log_position& value) {
    archive(value.term, value.offset);
}

template <class Archive>
void serialize(Archive& archive, prepared_shape& value) {
    archive(value.shape, value.writes);
}

template <class Archive>
void serialize(Archive& archive, process_id& value) {
    archive(value.started_ns, value.nonce);
}

template <class Archive>
void serialize(Archive& archive, transaction_id& value) {
    archive(value.process, value.number);
}

template <class Archive>
void serialize(Archive& archive, upstream_request& value) {
    engine::archive_enum(archive, value.kind, upstream_request_kind::stop_primary);
    archive(value.transaction, value.group, value.database, value.team, value.id);
    archive(value.text, value.prepared, value.writes, value.read_only_transaction);
    archive(value.floor, value.values, value.budget_ms, value.wait_ms);
    archive(value.priority, value.term);
}

template <class Archive>
void serialize(Archive& archive, database_state& value) {
    archive(value.leads, value.term, value.received, value.held_term);
}

template <class Archive>
void serialize(Archive& archive, upstream_response& value) {
    engine::archive_enum(archive, value.outcome, upstream_outcome::unknown);
    engine::archive_enum(archive, value.refusal, upstream_refusal::overloaded);
    engine::archive_enum(archive, value.error, statement_error::in_doubt);
    archive(value.error_text, value.rows, value.signature);
    engine::archive_enum(archive, value.state, transaction_state::failed);
    archive(value.position, value.transaction, value.load);
    archive(value.leader_confirmed, value.report, value.acknowledged);
    archive(value.confirmed_by, value.service_us, value.failing_permille);
}

template <class Archive>
void serialize(Archive& archive, registered_database& value) {
    archive(value.id, value.group, value.address, value.availability_zone, value.slots);
    archive(value.leaving, value.claims_primary, value.started_ms);
    archive(value.cold_remaining_ms);
}

template <class Archive>
void serialize(Archive& archive, registered_host& value) {
    archive(value.name, value.address, value.availability_zone);
    archive(value.processor_millicores);
}

template <class Archive>
void serialize(Archive& archive, store_version& value) {
    archive(value.era, value.number);
}

template <class Archive>
void serialize(Archive& archive, evacuation_list& value) {
    archive(value.version, value.zones);
}

template <class Archive>
void serialize(Archive& archive, news_versions& value) {
    archive(value.configuration, value.databases, value.hosts);
}

template <class Archive>
void serialize(Archive& archive, told_commit& value) {
    archive(value.group, value.database, value.position);
}

template <class Archive>
void serialize(Archive& archive, fenced_primary& value) {
    archive(value.group, value.primary);
}

template <class Archive>
void serialize(Archive& archive, database_directory& value) {
    archive(value.version, value.databases);
}

} // namespace persimmonpoint

namespace persimmonpoint::engine {

namespace {

constexpr std::size_t length_bytes = 4;

/// Nothing if the bytes are no message, or one with a field out of its bounds.
std::optional<peer_message> decode(std::string_view bytes);

std::size_t read_length(std::string_view bytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_bytes; ++i) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i]))
                  << (8 * i);
    }
    return length;
}

void write_length(std::string& bytes, std::size_t length) {
    for (std::size_t i = 0; i < length_bytes; ++i) {
        bytes[i] = static_cast<char>((length >> (8 * i)) & 0xffU);
    }
}

} // namespace

template <class Archive>
void serialize(Archive& archive, hello_message& value) {
    archive(value.protocol, value.host);
}

template <class Archive>
void serialize(Archive& archive, order_message& value) {
    archive(value.number, value.order);
}

template <class Archive>
void serialize(Archive& archive, answer_message& value) {
    archive(value.number, value.answer);
}

template <class Archive>
void serialize(Archive& archive, alive_message& value) {
    archive(value.leaving, value.versions, value.evacuations);
}

template <class Archive>
void serialize(Archive& archive, news_request_message& value) {
    archive(value.versions);
}

template <class Archive>
void serialize(Archive& archive, configuration_message& value) {
    archive(value.body);
}

template <class Archive>
void serialize(Archive& archive, directory_message& value) {
    archive(value.directory);
}

template <class Archive>
void serialize(Archive& archive, leader_message& value) {
    archive(value.group, value.database, value.term);
}

template <class Archive>
void serialize(Archive& archive, endorsement_message& value) {
    archive(value.shard, value.withdrawn, value.life_ms);
}

template <class Archive>
void serialize(Archive& archive, release_message& value) {
    archive(value.shard);
}

template <class Archive>
void serialize(Archive& archive, hosts_message& value) {
    archive(value.version, value.hosts);
}

template <class Archive>
void serialize(Archive& archive, borrow_message& value) {
    archive(value.number, value.team);
}

template <class Archive>
void serialize(Archive& archive, loan_message& value) {
    archive(value.number, value.wait_us);
}

template <class Archive>
void serialize(Archive& archive, reach_query_message& value) {
    archive(value.number, value.database);
}

template <class Archive>
void serialize(Archive& archive, reach_answer_message& value) {
    archive(value.number, value.reached);
}

template <class Archive>
void serialize(Archive& archive, fence_message& value) {
    archive(value.number, value.fenced);
}

template <class Archive>
void serialize(Archive& archive, fence_answer_message& value) {
    archive(value.number, value.acknowledged);
}

std::string encode(peer_message const& message) {
    std::ostringstream out;
    out.write("\0\0\0\0", length_bytes);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    std::string bytes = std::move(out).str();
    write_length(bytes, bytes.size() - length_bytes);
    return bytes;
}

namespace {

std::optional<peer_message> decode(std::string_view bytes) {
    try {
        peer_input_archive archive(bytes);
        peer_message message;
        archive(message);
        if (archive.at_end() && is_well_formed(message)) {
            return message;
        }
    } catch (std::exception const&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<peer_message> peer_decoder::next() {
    if (this->failed || this->buffer.size() < length_bytes) {
        return std::nullopt;
    }
    std::size_t const length = read_length(this->buffer);
    if (length > most_message_bytes) {
        this->failed = true;
        return std::nullopt;
    }
    if (this->buffer.size() < length_bytes + length) {
        return std::nullopt;
    }
    auto message = decode(std::string_view(this->buffer).substr(length_bytes, length));
    this->buffer.erase(0, length_bytes + length);
    // The owner of the connection closes it and logs it.
    this->failed = !message;
    return message;
}

} // namespace persimmonpoint::engine
