#include "drivers/http_listener.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.4";
constexpr std::size_t MaxBody = 100'000;

std::uint16_t port()
{
    // Test programs that run in parallel must not use the same port.
    return static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
}

/** Answers each request with its number of body bytes; refuses those to /secret by their header. */
class Counter final : public HttpHandler
{
public:
    explicit Counter(ConnectionBudget &budget)
        : m_listener(*this, MaxBody, budget)
    {
        REQUIRE(m_listener.start(Ip, port()).ok());
    }

    HeadVerdict inspectHead(const HttpRequest &head) override
    {
        HeadVerdict verdict;
        if (head.path == "/secret")
            verdict.refusal = HttpResponse{403, {}, nullptr};
        return verdict;
    }

    void handleRequest(HttpToken token, HttpRequest request) override
    {
        HttpResponse response;
        response.body = std::make_shared<const std::string>(std::to_string(request.body.size()));
        m_listener.respond(token, std::move(response));
    }

    void handleDisconnect(HttpToken) override {}

private:
    HttpListener m_listener;
};

/** Sends \a wire and returns what arrives until the server closes or a whole answer is there. */
std::string exchange(const std::string &wire)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port());
    ::inet_pton(AF_INET, Ip, &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    ::send(socket, wire.data(), wire.size(), MSG_NOSIGNAL);
    std::array<char, 4096> buffer;
    const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
    ::close(socket);
    return std::string(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
}

std::string head(const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::uint64_t countOf(const ConnectionBudget &budget, Rejection reason)
{
    return budget.totals().rejected.at(static_cast<std::size_t>(reason));
}

} // namespace

TEST_CASE("A refusal by the header does not wait for the body")
{
    // Guards against bodies of unknown clients that are read before the secret is checked.
    ConnectionBudget budget(deriveConnectionLimits());
    Counter counter(budget);
    CHECK(exchange(head("/secret", "Content-Length: 100000\r\n")).starts_with("HTTP/1.1 403"));
    CHECK(exchange(head("/", "Content-Length: 999999999\r\n")).starts_with("HTTP/1.1 413"));
    CHECK(exchange(head("/", "Expect: 100-continue\r\nContent-Length: 100001\r\n"))
                  .starts_with("HTTP/1.1 413"));
    CHECK(countOf(budget, Rejection::Secret) == 1);
    CHECK(countOf(budget, Rejection::BodySize) == 2);
}

TEST_CASE("A body of the largest size arrives in chunks of one byte, one more byte is refused")
{
    ConnectionBudget budget(deriveConnectionLimits());
    Counter counter(budget);
    std::string chunks;
    for (std::size_t sent = 0; sent < MaxBody; ++sent)
        chunks += "1\r\nx\r\n";
    const std::string chunked = head("/", "Transfer-Encoding: chunked\r\n");
    CHECK(exchange(chunked + chunks + "0\r\n\r\n").ends_with("\r\n\r\n100000"));
    CHECK(exchange(chunked + chunks + "1\r\nx\r\n0\r\n\r\n").starts_with("HTTP/1.1 413"));
    CHECK(countOf(budget, Rejection::BodySize) == 1);
}
