#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <persimmonpoint/net/run_loop.hpp>
#include <persimmonpoint/platform/http_client.hpp>
#include <persimmonpoint/standin/row_store.hpp>
#include <stdexcept>

using namespace persimmonpoint;

TEST_CASE("A handler that throws ends itself, not the loop", "[loop]") {
    boost::asio::io_context loop;
    int ran = 0;
    boost::asio::post(loop, [&] { ++ran; });
    boost::asio::post(loop, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(loop, [&] { ++ran; });
    net::run_loop(loop, "test");
    CHECK(ran == 2);
}

TEST_CASE("A call goes on though the handler of the one before threw", "[loop][store]") {
    boost::asio::io_context loop;
    standin::row_store store(
        loop, [](std::string const&, std::string const&, std::uint64_t) { return 200U; });
    platform::http_client client(
        loop, "127.0.0.1", store.port(), std::chrono::milliseconds(1000));
    char const* const target = "/api/rows-get?table=op&part=&limit=1";
    client.request("GET", target, {}, [](result<platform::http_reply> const&) {
        throw std::runtime_error("unexpected");
    });
    unsigned status = 0;
    client.request("GET", target, {}, [&](result<platform::http_reply> reply) {
        status = reply ? reply.value().status : 0;
        loop.stop();
    });
    net::run_loop(loop, "test");
    CHECK(status == 200);
}
