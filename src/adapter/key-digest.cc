#include "adapter/key-digest.h"

#include <sodium.h>

#include <stdexcept>

namespace jackdawwall {
namespace {

constexpr std::size_t kSaltBytes = crypto_generichash_KEYBYTES;
static_assert(std::tuple_size_v<KeyHash> >= crypto_generichash_BYTES_MIN);

/// Must run before any other function of the library; safe to repeat.
void initialize()
{
    static const bool isInitialized = sodium_init() >= 0;
    if (!isInitialized)
        throw std::runtime_error("libsodium can't be initialized");
}

const unsigned char* bytesOf(absl::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

/// Decodes hexadecimal text to exactly `size` bytes.
bool fromHex(absl::string_view text, unsigned char* bytes, std::size_t size)
{
    std::size_t length = 0;
    return text.size() == 2 * size
        && sodium_hex2bin(bytes, size, text.data(), text.size(), nullptr, &length, nullptr) == 0
        && length == size;
}

} // namespace

std::string makeKeySalt()
{
    initialize();
    std::string salt(kSaltBytes, '\0');
    randombytes_buf(salt.data(), salt.size());
    return salt;
}

KeyHash hashKey(absl::string_view salt, absl::string_view key)
{
    initialize();
    KeyHash hash {};
    if (crypto_generichash(hash.data(), hash.size(), bytesOf(key), key.size(), bytesOf(salt), salt.size())
        != 0)
        throw std::invalid_argument("invalid salt");
    return hash;
}

std::string toHex(absl::Span<const std::uint8_t> bytes)
{
    std::string text(2 * bytes.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

std::string toHex(absl::string_view bytes)
{
    return toHex(absl::Span<const std::uint8_t>(bytesOf(bytes), bytes.size()));
}

std::optional<KeyHash> keyHashFromHex(absl::string_view text)
{
    KeyHash hash {};
    return fromHex(text, hash.data(), hash.size()) ? std::optional(hash) : std::nullopt;
}

std::optional<std::string> keySaltFromHex(absl::string_view text)
{
    std::string salt(kSaltBytes, '\0');
    if (!fromHex(text, reinterpret_cast<unsigned char*>(salt.data()), salt.size()))
        return std::nullopt;
    return salt;
}

} // namespace jackdawwall
