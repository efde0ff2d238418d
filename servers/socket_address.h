#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentiancross {

/** An "IP:PORT" address, split into its two parts. */
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ':' + std::to_string(port); }
};

/** Parses "IP:PORT" with an IPv4 address and a port from 1 to 65535; returns nothing if \a text is
 * anything else. Reentrant. */
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace gentiancross
