#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <soak/socket_owner.hpp>
#include <unistd.h>

using namespace persimmonpoint::tests;
using tcp = boost::asio::ip::tcp;

TEST_CASE("The kernel tells which process opened a connection", "[soak]") {
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
    tcp::socket near(loop);
    near.connect(acceptor.local_endpoint());
    std::uint16_t const near_port = near.local_endpoint().port();
    std::uint16_t const far_port = acceptor.local_endpoint().port();
    auto const found = find_socket(near_port, far_port);
    REQUIRE(found);
    CHECK(has_socket(::getpid(), *found));
    CHECK_FALSE(has_socket(::getppid(), *found));
    SECTION("and of no other connection") {
        CHECK_FALSE(find_socket(near_port, near_port));
    }
    SECTION("and nothing once it has ended") {
        near.close();
        auto const later = find_socket(near_port, far_port);
        CHECK_FALSE((later && has_socket(::getpid(), *later)));
    }
}
