#include <persimmonpoint/platform/line_codec.hpp>
#include <persimmonpoint/platform/line_reader.hpp>
#include <support/command_reader.hpp>

namespace persimmonpoint::tests {

namespace {

command_effect fault(std::string_view reason, std::string_view text) {
    command_effect effect;
    effect.fault = std::string(reason) + ": " + std::string(text);
    return effect;
}

/// The words before the last field; what is left of `line` is the last field.
std::string_view word(std::string_view& line) {
    return platform::take_word(line);
}

} // namespace

command_effect database_session::take(std::string_view bytes) {
    platform::line_reader reader;
    reader.add(bytes);
    auto const first = reader.next();
    if (!first) {
        return fault("no whole line", bytes);
    }
    std::string const line(*first);
    constexpr std::size_t end_of_line = 2;
    if (line.size() + end_of_line != bytes.size()) {
        return fault("more than one line", bytes);
    }
    if (platform::has_stray_control(line)) {
        return fault("a stray control character", line);
    }
    return this->take_line(line);
}

command_effect database_session::take_line(std::string_view line) {
    std::string_view rest = line;
    if (word(rest) != "QUERY") {
        return fault("no query", line);
    }
    std::string_view const id = word(rest);
    if (id.empty()) {
        return fault("no id", line);
    }
    std::string_view behind = rest;
    if (word(behind) != "AFTER") {
        return this->take_text(id, rest);
    }
    auto const floor = platform::parse_position(word(behind));
    std::string_view verb = behind;
    std::string_view const preceded = word(verb);
    if (!floor || (preceded != "READ" && preceded != "BEGIN" && preceded != "EXECUTE")) {
        return fault("AFTER where it can't stand", line);
    }
    command_effect effect = this->take_text(id, behind);
    effect.floor = floor;
    return effect;
}

command_effect database_session::take_text(std::string_view id, std::string_view text) {
    std::string_view rest = text;
    std::string_view const verb = word(rest);
    if (verb == "READ" || verb == "WRITE") {
        return rest.empty() ? fault("no item", text) : this->run(id, text);
    }
    if (verb == "EXECUTE") {
        return this->execute(id, text.substr(verb.size()));
    }
    if (verb == "COMMIT" && rest.empty()) {
        command_effect effect = this->run(id, text);
        command_effect const ended = this->end_transaction();
        return ended.fault.empty() ? effect : ended;
    }
    if (verb == "ROLLBACK" && rest.empty()) {
        return this->end_transaction();
    }
    if (verb == "BEGIN") {
        return this->begin(rest);
    }
    if (verb == "PREPARE") {
        return this->prepare(rest);
    }
    if (verb == "DEALLOCATE") {
        return this->deallocate(word(rest));
    }
    if (verb == "SET") {
        std::string const name(word(rest));
        this->values[name] = rest;
        return name.empty() ? fault("no name", text) : command_effect();
    }
    if (verb == "RESET" && rest.empty()) {
        this->values.clear();
        this->prepared.clear();
        return {};
    }
    return fault("not known", text);
}

command_effect database_session::begin(std::string_view access) {
    if (this->in_transaction || (!access.empty() && access != "READ")) {
        return fault("BEGIN that can't be carried out", access);
    }
    this->in_transaction = true;
    this->read_only = access == "READ";
    return {};
}

command_effect database_session::end_transaction() {
    if (!this->in_transaction) {
        return fault("no transaction is open", "");
    }
    this->in_transaction = false;
    this->read_only = false;
    return {};
}

command_effect database_session::prepare(std::string_view rest) {
    std::string const name(word(rest));
    std::string_view const access = word(rest);
    if (name.empty() || rest.empty() || (access != "READ" && access != "WRITE")) {
        return fault("PREPARE that can't be read", rest);
    }
    this->prepared[name] = prepared_shape{std::string(rest), access == "WRITE"};
    return {};
}

command_effect database_session::deallocate(std::string_view name) {
    auto const found = this->prepared.find(name);
    if (found == this->prepared.end()) {
        return fault("nothing is prepared under the name", name);
    }
    this->prepared.erase(found);
    return {};
}

command_effect database_session::execute(std::string_view id, std::string_view rest) {
    std::string_view fields = rest;
    (void)word(fields); // The blank behind EXECUTE.
    std::string_view const name = word(fields);
    auto const found = this->prepared.find(name);
    if (found == this->prepared.end()) {
        return fault("nothing is prepared under the name", name);
    }
    constexpr std::size_t blank = 1;
    command_effect effect = this->run(id, rest.substr(blank + name.size()));
    effect.executed->prepared = found->second;
    return effect;
}

command_effect database_session::run(std::string_view id, std::string_view text) const {
    command_effect effect;
    effect.executed =
        executed_statement{std::string(id), std::string(text),    std::nullopt,
                           this->values,    this->in_transaction, this->read_only};
    return effect;
}

} // namespace persimmonpoint::tests
