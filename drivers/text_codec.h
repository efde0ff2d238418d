#pragma once

#include "drivers/codec.h"
#include "drivers/json_cursor.h"
#include "drivers/json_items.h"

#include <string_view>

/**
 * Decodes what codec::encode writes straight from its text. A tree of JSON values first takes
 * several times the processor time and memory, which counts for configurations with thousands of
 * queues. The rules for missing and additional fields are those of codec::decode. All functions are
 * reentrant.
 */
namespace gentiancross::codec {

/** Reads a value. Returns false if it is malformed or does not match the type; \a value is then
 * unspecified, and nothing more may be read from the same text. */
template <typename T>
bool read(simdjson::ondemand::value json, T &value);

namespace detail {

inline bool readString(simdjson::ondemand::value json, std::string &value)
{
    std::string_view text;
    if (json.get_string().get(text) != simdjson::SUCCESS)
        return false;
    value = text;
    return true;
}

template <typename T>
bool readScalar(simdjson::ondemand::value json, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        return json.get_bool().get(value) == simdjson::SUCCESS;
    } else if constexpr (std::is_unsigned_v<T>) {
        std::uint64_t number = 0;
        if (json.get_uint64().get(number) != simdjson::SUCCESS || !std::in_range<T>(number))
            return false;
        value = static_cast<T>(number);
        return true;
    } else {
        using Number = std::conditional_t<std::is_enum_v<T>, int, T>;
        std::int64_t number = 0;
        if (json.get_int64().get(number) != simdjson::SUCCESS || !std::in_range<Number>(number))
            return false;
        value = static_cast<T>(number);
        return true;
    }
}

/** Reads null, which \a isNull tells of. Any other value is left to be read. */
inline bool readNull(simdjson::ondemand::value json, bool &isNull)
{
    return json.is_null().get(isNull) == simdjson::SUCCESS;
}

template <typename Variant, std::size_t Index = 0>
bool readAlternative(simdjson::ondemand::value json, std::size_t wanted, Variant &value)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted != Index)
            return readAlternative<Variant, Index + 1>(json, wanted, value);
        return read(json, value.template emplace<Index>());
    } else {
        return false;
    }
}

template <typename Variant>
bool readVariant(simdjson::ondemand::value json, Variant &value)
{
    JsonItems items(json);
    simdjson::ondemand::value item;
    std::uint64_t index = 0;
    return items.next(item) && read(item, index) && items.next(item)
            && readAlternative(item, index, value) && items.isAtEnd();
}

/** Calls \a readItem for each element of an array. */
template <typename ReadItem>
bool readItems(simdjson::ondemand::value json, ReadItem readItem)
{
    JsonItems items(json);
    simdjson::ondemand::value item;
    while (items.next(item)) {
        if (!readItem(item))
            return false;
    }
    return items.isAtEnd();
}

template <typename T>
bool readMap(simdjson::ondemand::value json, T &value)
{
    return readItems(json, [&](simdjson::ondemand::value item) {
        JsonItems pair(item);
        typename T::key_type key;
        typename T::mapped_type mapped;
        if (!pair.next(item) || !read(item, key) || !pair.next(item) || !read(item, mapped)
            || !pair.isAtEnd())
            return false;
        value.emplace(std::move(key), std::move(mapped));
        return true;
    });
}

template <typename T>
bool readSequence(simdjson::ondemand::value json, T &value)
{
    return readItems(json, [&](simdjson::ondemand::value element) {
        typename T::value_type item;
        if (!read(element, item))
            return false;
        value.insert(value.end(), std::move(item));
        return true;
    });
}

template <typename T>
bool readArray(simdjson::ondemand::value json, T &value)
{
    std::size_t count = 0;
    const bool isRead = readItems(json, [&](simdjson::ondemand::value item) {
        return count < value.size() && read(item, value[count++]);
    });
    return isRead && count == value.size();
}

template <typename T>
bool readFields(simdjson::ondemand::value json, T &value)
{
    JsonItems items(json);
    simdjson::ondemand::value item;
    bool hasNext = items.next(item);
    const auto readNext = [&](auto &field) {
        // A missing shared value would leave a null pointer that its users dereference.
        if (!hasNext)
            return !IsShared<std::decay_t<decltype(field)>>::value;
        if (!read(item, field))
            return false;
        hasNext = items.next(item);
        return true;
    };
    auto fields = T::fields(value);
    if (!std::apply([&](auto &...field) { return (readNext(field) && ...); }, fields))
        return false;
    for (; hasNext; hasNext = items.next(item)) {
        if (!JsonCursor::skip(item))
            return false;
    }
    return items.isAtEnd();
}

} // namespace detail

template <typename T>
bool read(simdjson::ondemand::value json, T &value)
{
    if constexpr (WrapsValue<T>) {
        typename T::ValueType inner{};
        if (!read(json, inner))
            return false;
        value = T(std::move(inner));
        return true;
    } else if constexpr (std::is_same_v<T, Blob>) {
        std::string text;
        return detail::readString(json, text) && detail::fromBase64(text, value.bytes);
    } else if constexpr (std::is_same_v<T, std::string>) {
        return detail::readString(json, value);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
        return detail::readScalar(json, value);
    } else if constexpr (detail::IsShared<T>::value) {
        auto held = std::make_shared<std::remove_const_t<typename T::element_type>>();
        if (!read(json, *held))
            return false;
        value = std::move(held);
        return true;
    } else if constexpr (detail::IsSharedValue<T>::value) {
        bool isNull = false;
        if (!detail::readNull(json, isNull) || isNull)
            return isNull;
        typename T::ValueType held;
        if (!read(json, held))
            return false;
        value = T(std::move(held));
        return true;
    } else if constexpr (detail::IsOptional<T>::value) {
        bool isNull = false;
        if (!detail::readNull(json, isNull) || isNull)
            return isNull;
        return read(json, value.emplace());
    } else if constexpr (detail::IsVariant<T>::value) {
        return detail::readVariant(json, value);
    } else if constexpr (detail::IsMap<T>::value) {
        return detail::readMap(json, value);
    } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
        return detail::readSequence(json, value);
    } else if constexpr (detail::IsArray<T>::value) {
        return detail::readArray(json, value);
    } else {
        return detail::readFields(json, value);
    }
}

/** Decodes a whole text. Returns false if it is not exactly one value of the type; \a value is then
 * unspecified. Precondition: codec::encode writes the type as an array. */
template <typename T>
bool decodeText(std::string_view text, T &value)
{
    JsonCursor cursor(text);
    // Callers' strings may hold any bytes, and codec::encode writes them as they are.
    if (cursor.hasOddBytes()) {
        Json::Value json;
        return parseJson(std::string(text), json) && decode(json, value);
    }
    simdjson::ondemand::value json;
    return cursor.open(json) && read(json, value) && cursor.isAtEnd();
}

} // namespace gentiancross::codec
