#include "drivers/http_client.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.3";
constexpr char EmptyResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/** A server connection that the test reads and writes directly. */
class ServedConnection
{
public:
    explicit ServedConnection(int socket)
        : m_socket(socket)
    {}
    ServedConnection(const ServedConnection &) = delete;
    ServedConnection &operator=(const ServedConnection &) = delete;
    ~ServedConnection() { close(); }

    /** Reads the head of a request without a body. */
    void readRequest() const
    {
        std::string text;
        char byte = 0;
        while (text.find("\r\n\r\n") == std::string::npos && ::recv(m_socket, &byte, 1, 0) == 1)
            text.push_back(byte);
    }

    void answer() const
    {
        REQUIRE(::send(m_socket, EmptyResponse, sizeof EmptyResponse - 1, MSG_NOSIGNAL) > 0);
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
};

/** A listening port whose connections the test accepts directly. */
class ServedPort
{
public:
    ServedPort()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, Ip, &address.sin_addr);
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_socket, 8) == 0);
        socklen_t length = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
    }
    ServedPort(const ServedPort &) = delete;
    ServedPort &operator=(const ServedPort &) = delete;
    ~ServedPort() { close(); }

    [[nodiscard]] ServedConnection accept() const
    {
        return ServedConnection(::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC));
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

    [[nodiscard]] HttpCall call(Milliseconds timeout = Milliseconds(20'000)) const
    {
        HttpCall call;
        call.method = "GET";
        call.url = std::string("http://") + Ip + ':' + std::to_string(m_port) + '/';
        call.timeout = timeout;
        return call;
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

std::future<HttpResult> start(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    client.start(std::move(call),
                 [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

} // namespace

TEST_CASE("A call that was sent once is not reported as unsent when its resend has expired")
{
    // Guards against the case that connections are reset while workers execute orders: the library
    // resends on a new connection, and only the resend determined the result.
    ServedPort port;
    HttpClient client;
    std::future<HttpResult> first = start(client, port.call());
    ServedConnection connection = port.accept();
    connection.readRequest();
    connection.answer();
    REQUIRE(first.get().outcome == CallOutcome::Answered);
    std::atomic<bool> isValid = true;
    HttpCall call = port.call();
    call.isValid = [&] { return isValid.load(); };
    std::future<HttpResult> second = start(client, std::move(call));
    connection.readRequest();
    isValid = false;
    connection.close();
    const HttpResult result = second.get();
    CHECK_FALSE(result.hasExpired);
    CHECK(result.outcome == CallOutcome::Broken);
}

TEST_CASE("A call that was sent once is not reported as unsent when its resend cannot connect")
{
    // Guards against the case that a host stops after it has accepted a request: the caller was
    // told that the host had not accepted it.
    ServedPort port;
    HttpClient client;
    std::future<HttpResult> first = start(client, port.call());
    ServedConnection connection = port.accept();
    connection.readRequest();
    connection.answer();
    REQUIRE(first.get().outcome == CallOutcome::Answered);
    std::future<HttpResult> second = start(client, port.call());
    connection.readRequest();
    port.close();
    connection.close();
    CHECK(second.get().outcome == CallOutcome::Broken);
}

TEST_CASE("A response that has arrived is read before its call times out")
{
    // Guards against a process that was paused, or got no processor time, and then treated workers
    // as silent although their responses had arrived.
    constexpr Milliseconds Timeout{500};
    ServedPort port;
    HttpClient client;
    std::promise<void> paused;
    std::promise<void> mayResume;
    client.start(port.call(), [&](const HttpResult &) {
        paused.set_value();
        mayResume.get_future().wait();
    });
    ServedConnection pausing = port.accept();
    pausing.readRequest();
    std::future<HttpResult> answered = start(client, port.call(Timeout));
    ServedConnection served = port.accept();
    served.readRequest();
    std::future<HttpResult> silent = start(client, port.call(Timeout));
    ServedConnection unserved = port.accept();
    unserved.readRequest();
    pausing.answer();
    paused.get_future().wait();
    served.answer();
    std::this_thread::sleep_for(std::chrono::milliseconds((Timeout + Timeout).value()));
    mayResume.set_value();
    CHECK(answered.get().outcome == CallOutcome::Answered);
    CHECK(silent.get().outcome == CallOutcome::Broken);
}
