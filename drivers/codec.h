#pragma once

#include "core/blob.h"
#include "core/shared_value.h"

#include <json/json.h>
#include <sodium.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/**
 * Encodes and decodes the messages exchanged by the system's own processes and the records that
 * they store, as compact JSON.
 *
 * A struct with a `fields` function is encoded as an array of its fields, in order. For backward
 * compatibility, new fields are appended; when decoding a shorter array, the missing fields keep
 * their defaults, except shared pointers, which are required. All functions are reentrant.
 */
namespace gentiancross::codec {

template <typename T>
concept WrapsValue = requires(const T &t)
{
    typename T::ValueType;
    t.value();
};

template <typename T>
concept HasFields = requires(T &t)
{
    T::fields(t);
};

template <typename T>
void write(std::string &text, const T &value);

template <typename T>
std::string encode(const T &value);

template <typename T>
bool decode(const Json::Value &json, T &value);

namespace detail {

template <typename T>
struct IsVector : std::false_type
{};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type
{};
template <typename T>
struct IsArray : std::false_type
{};
template <typename T, std::size_t Size>
struct IsArray<std::array<T, Size>> : std::true_type
{};
template <typename T>
struct IsSet : std::false_type
{};
template <typename T>
struct IsSet<std::set<T>> : std::true_type
{};
template <typename T>
struct IsMap : std::false_type
{};
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type
{};
template <typename T>
struct IsOptional : std::false_type
{};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type
{};
template <typename T>
struct IsVariant : std::false_type
{};
template <typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type
{};

template <typename T>
struct IsShared : std::false_type
{};
template <typename T>
struct IsShared<std::shared_ptr<const T>> : std::true_type
{};

template <typename T>
struct IsSharedValue : std::false_type
{};
template <typename T>
struct IsSharedValue<SharedValue<T>> : std::true_type
{};

inline void writeQuoted(std::string &text, const std::string &value)
{
    constexpr char HexDigits[] = "0123456789abcdef";
    constexpr unsigned char FirstPrintable = 0x20;
    text += '"';
    std::size_t begin = 0;
    for (std::size_t index = 0; index < value.size(); ++index) {
        const auto byte = static_cast<unsigned char>(value[index]);
        if (byte >= FirstPrintable && byte != '"' && byte != '\\')
            continue;
        text.append(value, begin, index - begin);
        begin = index + 1;
        if (byte >= FirstPrintable)
            text += {'\\', static_cast<char>(byte)};
        else
            text += {'\\', 'u', '0', '0', HexDigits[byte >> 4], HexDigits[byte & 0xF]};
    }
    text.append(value, begin);
    text += '"';
}

template <typename K, typename V>
void writeElement(std::string &text, const std::pair<K, V> &pair)
{
    text += '[';
    write(text, pair.first);
    text += ',';
    write(text, pair.second);
    text += ']';
}

template <typename T>
void writeElement(std::string &text, const T &element)
{
    write(text, element);
}

template <typename T>
void writeSequence(std::string &text, const T &sequence)
{
    text += '[';
    const char *separator = "";
    for (const auto &element : sequence) {
        text += std::exchange(separator, ",");
        writeElement(text, element);
    }
    text += ']';
}

template <typename Variant, std::size_t Index = 0>
bool decodeAlternative(std::size_t wanted, const Json::Value &json, Variant &value)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted != Index)
            return decodeAlternative<Variant, Index + 1>(wanted, json, value);
        std::variant_alternative_t<Index, Variant> alternative;
        if (!decode(json, alternative))
            return false;
        value = std::move(alternative);
        return true;
    } else {
        return false;
    }
}

inline std::string toBase64(const std::string &bytes)
{
    constexpr int Variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), Variant), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), Variant);
    text.pop_back(); // The encoded length includes the terminating zero.
    return text;
}

inline bool fromBase64(const std::string &text, std::string &bytes)
{
    bytes.resize(text.size());
    std::size_t size = 0;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(), text.data(), text.size(), nullptr, &size,
                                         nullptr, sodium_base64_VARIANT_ORIGINAL);
    bytes.resize(size);
    return failed == 0;
}

template <typename T>
bool decodeScalar(const Json::Value &json, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        if (!json.isBool())
            return false;
        value = json.asBool();
    } else if constexpr (std::is_enum_v<T>) {
        if (!json.isInt())
            return false;
        value = static_cast<T>(json.asInt());
    } else if constexpr (std::is_unsigned_v<T>) {
        if (!json.isUInt64() || !std::in_range<T>(json.asUInt64()))
            return false;
        value = static_cast<T>(json.asUInt64());
    } else {
        if (!json.isInt64() || !std::in_range<T>(json.asInt64()))
            return false;
        value = static_cast<T>(json.asInt64());
    }
    return true;
}

template <typename T>
bool decodeSequence(const Json::Value &json, T &value)
{
    if (!json.isArray())
        return false;
    for (const Json::Value &element : json) {
        typename T::value_type item;
        if (!decode(element, item))
            return false;
        value.insert(value.end(), std::move(item));
    }
    return true;
}

template <typename T>
bool decodeArray(const Json::Value &json, T &value)
{
    if (!json.isArray() || json.size() != value.size())
        return false;
    for (std::size_t index = 0; index < value.size(); ++index) {
        if (!decode(json[static_cast<Json::ArrayIndex>(index)], value[index]))
            return false;
    }
    return true;
}

template <typename T>
bool decodeMap(const Json::Value &json, T &value)
{
    if (!json.isArray())
        return false;
    for (const Json::Value &pair : json) {
        typename T::key_type key;
        typename T::mapped_type mapped;
        if (!pair.isArray() || pair.size() != 2)
            return false;
        if (!decode(pair[0], key) || !decode(pair[1], mapped))
            return false;
        value.emplace(std::move(key), std::move(mapped));
    }
    return true;
}

template <typename T>
bool decodeFields(const Json::Value &json, T &value)
{
    if (!json.isArray())
        return false;
    // jsoncpp stores arrays as trees, so iterating is cheaper than looking up each index.
    auto next = json.begin();
    const auto end = json.end();
    const auto decodeNext = [&](auto &field) {
        // A missing shared value would leave a null pointer that its users dereference.
        if (next == end)
            return !IsShared<std::decay_t<decltype(field)>>::value;
        return decode(*next++, field);
    };
    auto fields = T::fields(value);
    return std::apply([&](auto &...field) { return (decodeNext(field) && ...); }, fields);
}

} // namespace detail

/** Appends \a value as JSON. The text is written directly: building a Json::Value tree first takes
 * ten times as long, and log entries and messages are most of what a leader encodes. */
template <typename T>
void write(std::string &text, const T &value)
{
    if constexpr (WrapsValue<T>) {
        write(text, value.value());
    } else if constexpr (std::is_same_v<T, Blob>) {
        detail::writeQuoted(text, detail::toBase64(value.bytes));
    } else if constexpr (std::is_same_v<T, std::string>) {
        detail::writeQuoted(text, value);
    } else if constexpr (std::is_same_v<T, bool>) {
        text += value ? "true" : "false";
    } else if constexpr (std::is_enum_v<T>) {
        text += std::to_string(static_cast<int>(value));
    } else if constexpr (std::is_integral_v<T>) {
        text += std::to_string(value);
    } else if constexpr (detail::IsSharedValue<T>::value) {
        using Held = typename T::ValueType;
        if (value.has_value())
            text += *value.textBy([](const Held &held) { return encode(held); });
        else
            text += "null";
    } else if constexpr (detail::IsOptional<T>::value) {
        if (value.has_value())
            write(text, *value);
        else
            text += "null";
    } else if constexpr (detail::IsShared<T>::value) {
        write(text, *value);
    } else if constexpr (detail::IsVariant<T>::value) {
        text += '[' + std::to_string(value.index()) + ',';
        std::visit([&text](const auto &alternative) { write(text, alternative); }, value);
        text += ']';
    } else if constexpr (detail::IsMap<T>::value || detail::IsVector<T>::value
                         || detail::IsSet<T>::value || detail::IsArray<T>::value) {
        detail::writeSequence(text, value);
    } else {
        text += '[';
        const char *separator = "";
        std::apply(
                [&](const auto &...field) {
                    ((text += std::exchange(separator, ","), write(text, field)), ...);
                },
                T::fields(value));
        text += ']';
    }
}

/** Returns \a value as JSON text. */
template <typename T>
std::string encode(const T &value)
{
    std::string text;
    write(text, value);
    return text;
}

/** Decodes \a json into \a value. Returns false if the shape does not match; \a value is then
 * unspecified. */
template <typename T>
bool decode(const Json::Value &json, T &value)
{
    if constexpr (WrapsValue<T>) {
        typename T::ValueType inner{};
        if (!decode(json, inner))
            return false;
        value = T(std::move(inner));
        return true;
    } else if constexpr (std::is_same_v<T, Blob>) {
        return json.isString() && detail::fromBase64(json.asString(), value.bytes);
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (!json.isString())
            return false;
        value = json.asString();
        return true;
    } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
        return detail::decodeScalar(json, value);
    } else if constexpr (detail::IsShared<T>::value) {
        auto held = std::make_shared<std::remove_const_t<typename T::element_type>>();
        if (!decode(json, *held))
            return false;
        value = std::move(held);
        return true;
    } else if constexpr (detail::IsSharedValue<T>::value) {
        if (json.isNull())
            return true;
        typename T::ValueType held;
        if (!decode(json, held))
            return false;
        value = T(std::move(held));
        return true;
    } else if constexpr (detail::IsOptional<T>::value) {
        if (json.isNull())
            return true;
        return decode(json, value.emplace());
    } else if constexpr (detail::IsVariant<T>::value) {
        if (!json.isArray() || json.size() != 2 || !json[0].isUInt())
            return false;
        return detail::decodeAlternative(json[0].asUInt(), json[1], value);
    } else if constexpr (detail::IsMap<T>::value) {
        return detail::decodeMap(json, value);
    } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
        return detail::decodeSequence(json, value);
    } else if constexpr (detail::IsArray<T>::value) {
        return detail::decodeArray(json, value);
    } else {
        return detail::decodeFields(json, value);
    }
}

/** Returns \a json as one line of text. */
inline std::string formatJson(const Json::Value &json)
{
    // Constructing a writer takes longer than writing a small message with it.
    thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        builder["emitUTF8"] = true;
        return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
    }();
    std::ostringstream stream;
    writer->write(json, &stream);
    return stream.str();
}

/** Parses \a text. Returns false if it is not one JSON value. */
inline bool parseJson(const std::string &text, Json::Value &json)
{
    thread_local const std::unique_ptr<Json::CharReader> reader = [] {
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    }();
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &json, &errors);
    } catch (const Json::Exception &) {
        return false; // The reader throws if nesting exceeds its limit.
    }
}

} // namespace gentiancross::codec
