#include "drivers/random.h"

#include <sodium.h>

#include <array>

namespace gentiancross {

namespace {

constexpr std::size_t NameBytes = 8;
constexpr std::size_t HashBytes = 32;

template <std::size_t Size>
std::string toHex(const std::array<unsigned char, Size> &bytes)
{
    std::string text(Size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

std::array<unsigned char, HashBytes> hashBytes(std::string_view text, std::string_view salt)
{
    std::array<unsigned char, HashBytes> key = {};
    std::array<unsigned char, HashBytes> hash = {};
    // The salt may be of any length; the keyed hash takes one of a fixed length.
    crypto_generichash(key.data(), key.size(), reinterpret_cast<const unsigned char *>(salt.data()),
                       salt.size(), nullptr, 0);
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
                       key.data(), key.size());
    return hash;
}

} // namespace

std::string generateUniqueName()
{
    std::array<unsigned char, NameBytes> bytes = {};
    randombytes_buf(bytes.data(), bytes.size());
    return toHex(bytes);
}

std::uint64_t generateRandomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof(seed));
    return seed;
}

KeyHash hashKey(std::string_view key, std::string_view fleetSecret)
{
    return KeyHash(toHex(hashBytes(key, fleetSecret)));
}

bool isSameSecret(std::string_view first, std::string_view second)
{
    const auto firstHash = hashBytes(first, "compare");
    const auto secondHash = hashBytes(second, "compare");
    return sodium_memcmp(firstHash.data(), secondHash.data(), firstHash.size()) == 0;
}

} // namespace gentiancross
