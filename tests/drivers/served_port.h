#pragma once

#include "drivers/http_client.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace gentiancross::tests {

inline constexpr char ServedIp[] = "127.9.9.3";
inline constexpr char EmptyResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

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

    /** Reads a request whose body, if it has one, has a declared length. */
    void readRequest() const
    {
        std::string text;
        while (text.find("\r\n\r\n") == std::string::npos && readByte(text)) {
        }
        const std::string field = "Content-Length: ";
        const std::size_t length = text.find(field);
        if (length == std::string::npos)
            return;
        std::string body;
        while (body.size() < std::stoul(text.substr(length + field.size())) && readByte(body)) {
        }
    }

    void answer(const std::string &response = EmptyResponse) const
    {
        REQUIRE(::send(m_socket, response.data(), response.size(), MSG_NOSIGNAL) > 0);
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    bool readByte(std::string &text) const
    {
        char byte = 0;
        if (::recv(m_socket, &byte, 1, 0) != 1)
            return false;
        text.push_back(byte);
        return true;
    }

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
        ::inet_pton(AF_INET, ServedIp, &address.sin_addr);
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

    /** The port as "ip:port". */
    [[nodiscard]] std::string address() const
    {
        return std::string(ServedIp) + ':' + std::to_string(m_port);
    }

    [[nodiscard]] HttpCall call(Milliseconds timeout = Milliseconds(20'000)) const
    {
        HttpCall call;
        call.method = "GET";
        call.url = "http://" + address() + '/';
        call.timeout = timeout;
        return call;
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};

} // namespace gentiancross::tests
