#include <array>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <soak/socket_owner.hpp>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmonpoint::tests {

namespace {

constexpr std::size_t answer_bytes = 4096;

struct socket_question {
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

socket_question make_question(std::uint16_t near, std::uint16_t far) {
    socket_question out;
    out.header.nlmsg_len = sizeof(out);
    out.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    out.header.nlmsg_flags = NLM_F_REQUEST;
    out.body.sdiag_family = AF_INET;
    out.body.sdiag_protocol = IPPROTO_TCP;
    out.body.id.idiag_sport = htons(near);
    out.body.id.idiag_dport = htons(far);
    out.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    out.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    out.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    out.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return out;
}

} // namespace

std::optional<std::uint32_t> find_socket(std::uint16_t near, std::uint16_t far) {
    socket_question const question = make_question(near, far);
    std::array<char, answer_bytes> answer{};
    int const kernel = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    bool const asked = kernel >= 0 && ::send(kernel, &question, sizeof(question), 0) > 0;
    ssize_t const size = asked ? ::recv(kernel, answer.data(), answer.size(), 0) : -1;
    if (kernel >= 0) {
        ::close(kernel);
    }
    nlmsghdr header{};
    if (size < static_cast<ssize_t>(sizeof(header))) {
        throw std::runtime_error("the kernel doesn't tell whose a connection is");
    }
    std::memcpy(&header, answer.data(), sizeof(header));
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) {
        return std::nullopt;
    }
    inet_diag_msg found{};
    std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof(found));
    return found.idiag_inode;
}

bool has_socket(pid_t process, std::uint32_t socket) {
    std::string const wanted = "socket:[" + std::to_string(socket) + "]";
    std::error_code failure;
    std::filesystem::directory_iterator const files(
        "/proc/" + std::to_string(process) + "/fd", failure);
    for (auto const& each : files) {
        if (std::filesystem::read_symlink(each.path(), failure) == wanted) {
            return true;
        }
    }
    return false;
}

} // namespace persimmonpoint::tests
