#include "servers/socket_address.h"

#include <arpa/inet.h>
#include <charconv>
#include <system_error>

namespace gentiancross {

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string ip(text.substr(0, colon));
    const bool hasZero = ip.find('\0') != std::string::npos; // inet_pton would stop there.
    const char *const end = text.data() + text.size();
    in_addr address = {};
    std::uint16_t port = 0;
    const std::from_chars_result result = std::from_chars(text.data() + colon + 1, end, port);
    if (hasZero || ::inet_pton(AF_INET, ip.c_str(), &address) != 1 || result.ec != std::errc()
        || result.ptr != end || port == 0)
        return std::nullopt;
    return SocketAddress{ip, port};
}

} // namespace gentiancross
