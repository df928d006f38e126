#include <algorithm>
#include <arpa/inet.h>
#include <support/line_caller.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

int connect_to(std::uint16_t port, std::chrono::milliseconds patience) {
    int const made = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(made);
        return -1;
    }
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(patience);
    timeval longest{};
    longest.tv_sec = seconds.count();
    longest.tv_usec = std::chrono::microseconds(patience - seconds).count();
    ::setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
    return made;
}

line_caller::line_caller(
    std::uint16_t port, std::chrono::milliseconds patience, std::string id_prefix)
    : socket(connect_to(port, patience)), id_prefix(std::move(id_prefix)) {}

line_caller::~line_caller() {
    this->close();
}

bool line_caller::has_unread() const {
    if (!this->buffer.empty()) {
        return true;
    }
    char byte = 0;
    return this->socket >= 0 &&
           ::recv(this->socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0;
}

void line_caller::close() {
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

std::string line_caller::read_line(bool& closed) {
    for (;;) {
        std::size_t const end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            return line;
        }
        char bytes[4096];
        ssize_t const size = ::recv(this->socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            closed = true;
            return {};
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

line_caller::reply line_caller::read_reply() {
    reply out;
    for (;;) {
        std::string const line = this->read_line(out.closed);
        if (out.closed) {
            return out;
        }
        std::size_t const blank = std::min(line.find(' '), line.size());
        std::string const word = line.substr(0, blank);
        std::string const rest = blank < line.size() ? line.substr(blank + 1) : "";
        if (word == "ROW") {
            out.rows.push_back(rest);
        } else if (word == "COMPLETE") {
            out.signature = rest;
        } else if (word == "ERROR") {
            std::size_t const end = std::min(rest.find(' '), rest.size());
            out.error = rest.substr(0, end);
            out.error_text = end < rest.size() ? rest.substr(end + 1) : "";
        } else if (word == "READY") {
            out.state = rest.substr(0, 1);
            return out;
        }
    }
}

line_caller::reply line_caller::raw(std::string const& bytes) {
    if (this->socket < 0 ||
        ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        reply out;
        out.closed = true;
        return out;
    }
    return this->read_reply();
}

line_caller::reply
line_caller::start(std::string const& database, std::string const& key) {
    return this->raw("START " + database + " " + key + "\r\n");
}

line_caller::reply line_caller::query(std::string const& text) {
    std::string const id = this->next_id();
    ++this->last_id;
    return this->raw("QUERY " + id + " " + text + "\r\n");
}

std::string line_caller::next_id() const {
    return this->id_prefix + std::to_string(this->last_id + 1);
}

} // namespace persimmonpoint::tests
