#include <boost/endian/conversion.hpp>
#include <persimmonpoint/postgres/backend_writer.hpp>

namespace persimmonpoint::postgres {

void backend_writer::authentication_ok() {
    std::size_t const at = this->start('R');
    this->integer<std::int32_t>(0);
    this->finish(at);
}

void backend_writer::authentication_cleartext() {
    std::size_t const at = this->start('R');
    this->integer<std::int32_t>(3);
    this->finish(at);
}

void backend_writer::parameter_status(std::string_view name, std::string_view value) {
    std::size_t const at = this->start('S');
    this->text(name);
    this->text(value);
    this->finish(at);
}

void backend_writer::backend_key_data(std::uint32_t process_id, std::uint32_t secret) {
    std::size_t const at = this->start('K');
    this->integer(process_id);
    this->integer(secret);
    this->finish(at);
}

void backend_writer::ready_for_query(transaction_status status) {
    std::size_t const at = this->start('Z');
    this->output.push_back(static_cast<char>(status));
    this->finish(at);
}

void backend_writer::row_description(std::span<column const> columns) {
    std::size_t const at = this->start('T');
    this->integer(static_cast<std::int16_t>(columns.size()));
    for (column const& each : columns) {
        this->text(each.name);
        this->integer(each.table_oid);
        this->integer(each.table_column);
        this->integer(each.type_oid);
        this->integer(each.type_size);
        this->integer(each.type_modifier);
        this->integer(each.format);
    }
    this->finish(at);
}

void backend_writer::data_row(std::span<field const> fields) {
    std::size_t const at = this->start('D');
    this->integer(static_cast<std::int16_t>(fields.size()));
    for (field const& each : fields) {
        if (!each) {
            this->integer<std::int32_t>(-1);
            continue;
        }
        this->integer(static_cast<std::int32_t>(each->size()));
        this->output.append(*each);
    }
    this->finish(at);
}

void backend_writer::command_complete(std::string_view tag) {
    std::size_t const at = this->start('C');
    this->text(tag);
    this->finish(at);
}

void backend_writer::empty_query() {
    this->empty_message('I');
}
void backend_writer::parse_complete() {
    this->empty_message('1');
}
void backend_writer::bind_complete() {
    this->empty_message('2');
}
void backend_writer::close_complete() {
    this->empty_message('3');
}
void backend_writer::no_data() {
    this->empty_message('n');
}
void backend_writer::portal_suspended() {
    this->empty_message('s');
}

void backend_writer::parameter_description(std::span<std::uint32_t const> types) {
    std::size_t const at = this->start('t');
    this->integer(static_cast<std::int16_t>(types.size()));
    for (std::uint32_t const type : types) {
        this->integer(type);
    }
    this->finish(at);
}

void backend_writer::error_response(error const& failure, std::string_view severity) {
    std::size_t const at = this->start('E');
    this->tagged('S', severity);
    this->tagged('V', severity);
    this->tagged('C', failure.sqlstate);
    this->tagged('M', failure.message);
    this->tagged('D', to_string(failure.known_effect));
    if (!failure.hint.empty()) {
        this->tagged('H', failure.hint);
    }
    this->output.push_back('\0');
    this->finish(at);
}

void backend_writer::forwarded_error(database_error const& failure) {
    std::size_t const at = this->start('E');
    for (auto const& [tag, value] : failure.fields) {
        this->tagged(tag, value);
    }
    this->output.push_back('\0');
    this->finish(at);
}

void backend_writer::plain_error(std::string_view sqlstate, std::string_view message) {
    std::size_t const at = this->start('E');
    this->tagged('S', "ERROR");
    this->tagged('V', "ERROR");
    this->tagged('C', sqlstate);
    this->tagged('M', message);
    this->output.push_back('\0');
    this->finish(at);
}

void backend_writer::notice(std::string_view message) {
    std::size_t const at = this->start('N');
    this->tagged('S', "NOTICE");
    this->tagged('V', "NOTICE");
    this->tagged('C', "00000");
    this->tagged('M', message);
    this->output.push_back('\0');
    this->finish(at);
}

std::size_t backend_writer::start(char type) {
    this->output.push_back(type);
    std::size_t const at = this->output.size();
    this->output.append(4, '\0');
    return at;
}

void backend_writer::finish(std::size_t start) {
    auto const length = static_cast<std::uint32_t>(this->output.size() - start);
    boost::endian::endian_store<std::uint32_t, 4, boost::endian::order::big>(
        reinterpret_cast<unsigned char*>(this->output.data() + start), length);
}

void backend_writer::empty_message(char type) {
    this->finish(this->start(type));
}

template <class Int>
void backend_writer::integer(Int value) {
    Int const swapped = boost::endian::native_to_big(value);
    this->output.append(reinterpret_cast<char const*>(&swapped), sizeof(swapped));
}

void backend_writer::text(std::string_view value) {
    this->output.append(value);
    this->output.push_back('\0');
}

void backend_writer::tagged(char tag, std::string_view value) {
    this->output.push_back(tag);
    this->text(value);
}

} // namespace persimmonpoint::postgres
