#pragma once

#include "drivers/codec.h"
#include "drivers/json_cursor.h"

#include <string_view>

/**
 * Decodes what codec::encode writes straight from its text. A tree of JSON values first takes
 * several times the processor time and memory, which counts for configurations with thousands of
 * queues. The rules for missing and additional fields are those of codec::decode. All functions are
 * reentrant.
 */
namespace gentiancross::codec {

/** Reads a value at the cursor. Returns false if the text is malformed or does not match the type;
 * \a value and the position are then unspecified. */
template <typename T>
bool read(JsonCursor &cursor, T &value);

namespace detail {

/** Calls \a readItem for each element of an array. */
template <typename ReadItem>
bool readItems(JsonCursor &cursor, ReadItem readItem)
{
    if (!cursor.take('['))
        return false;
    if (cursor.take(']'))
        return true;
    do {
        if (!readItem())
            return false;
    } while (cursor.take(','));
    return cursor.take(']');
}

template <typename T>
bool readScalar(JsonCursor &cursor, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        return cursor.readBool(value);
    } else if constexpr (std::is_unsigned_v<T>) {
        std::uint64_t number = 0;
        if (!cursor.readInteger(number) || !std::in_range<T>(number))
            return false;
        value = static_cast<T>(number);
        return true;
    } else {
        using Number = std::conditional_t<std::is_enum_v<T>, int, T>;
        std::int64_t number = 0;
        if (!cursor.readInteger(number))
            return false;
        if constexpr (std::is_enum_v<T>) {
            if (!std::in_range<int>(number))
                return false;
        } else if (!std::in_range<Number>(number)) {
            return false;
        }
        value = static_cast<T>(number);
        return true;
    }
}

template <typename Variant, std::size_t Index = 0>
bool readAlternative(JsonCursor &cursor, std::size_t wanted, Variant &value)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted != Index)
            return readAlternative<Variant, Index + 1>(cursor, wanted, value);
        return read(cursor, value.template emplace<Index>());
    } else {
        return false;
    }
}

template <typename Variant>
bool readVariant(JsonCursor &cursor, Variant &value)
{
    std::uint64_t index = 0;
    return cursor.take('[') && cursor.readInteger(index) && cursor.take(',')
            && readAlternative(cursor, index, value) && cursor.take(']');
}

template <typename T>
bool readMap(JsonCursor &cursor, T &value)
{
    return readItems(cursor, [&] {
        typename T::key_type key;
        typename T::mapped_type mapped;
        if (!cursor.take('[') || !read(cursor, key) || !cursor.take(',') || !read(cursor, mapped)
            || !cursor.take(']'))
            return false;
        value.emplace(std::move(key), std::move(mapped));
        return true;
    });
}

template <typename T>
bool readSequence(JsonCursor &cursor, T &value)
{
    return readItems(cursor, [&] {
        typename T::value_type item;
        if (!read(cursor, item))
            return false;
        value.insert(value.end(), std::move(item));
        return true;
    });
}

template <typename T>
bool readArray(JsonCursor &cursor, T &value)
{
    std::size_t count = 0;
    const bool isRead = readItems(
            cursor, [&] { return count < value.size() && read(cursor, value[count++]); });
    return isRead && count == value.size();
}

template <typename T>
bool readFields(JsonCursor &cursor, T &value)
{
    if (!cursor.take('['))
        return false;
    bool hasNext = !cursor.isAt(']');
    const auto readNext = [&](auto &field) {
        // A missing shared value would leave a null pointer that its users dereference.
        if (!hasNext)
            return !IsShared<std::decay_t<decltype(field)>>::value;
        if (!read(cursor, field))
            return false;
        hasNext = cursor.take(',');
        return true;
    };
    auto fields = T::fields(value);
    if (!std::apply([&](auto &...field) { return (readNext(field) && ...); }, fields))
        return false;
    while (hasNext) {
        if (!cursor.skipValue())
            return false;
        hasNext = cursor.take(',');
    }
    return cursor.take(']');
}

} // namespace detail

template <typename T>
bool read(JsonCursor &cursor, T &value)
{
    if constexpr (WrapsValue<T>) {
        typename T::ValueType inner{};
        if (!read(cursor, inner))
            return false;
        value = T(std::move(inner));
        return true;
    } else if constexpr (std::is_same_v<T, Blob>) {
        std::string text;
        return cursor.readString(text) && detail::fromBase64(text, value.bytes);
    } else if constexpr (std::is_same_v<T, std::string>) {
        return cursor.readString(value);
    } else if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
        return detail::readScalar(cursor, value);
    } else if constexpr (detail::IsShared<T>::value) {
        auto held = std::make_shared<std::remove_const_t<typename T::element_type>>();
        if (!read(cursor, *held))
            return false;
        value = std::move(held);
        return true;
    } else if constexpr (detail::IsSharedValue<T>::value) {
        if (cursor.isAt('n'))
            return cursor.readNull();
        typename T::ValueType held;
        if (!read(cursor, held))
            return false;
        value = T(std::move(held));
        return true;
    } else if constexpr (detail::IsOptional<T>::value) {
        if (cursor.isAt('n'))
            return cursor.readNull();
        return read(cursor, value.emplace());
    } else if constexpr (detail::IsVariant<T>::value) {
        return detail::readVariant(cursor, value);
    } else if constexpr (detail::IsMap<T>::value) {
        return detail::readMap(cursor, value);
    } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
        return detail::readSequence(cursor, value);
    } else if constexpr (detail::IsArray<T>::value) {
        return detail::readArray(cursor, value);
    } else {
        return detail::readFields(cursor, value);
    }
}

/** Decodes a whole text. Returns false if it is not exactly one value of the type; \a value is then
 * unspecified. */
template <typename T>
bool decodeText(std::string_view text, T &value)
{
    JsonCursor cursor(text);
    return read(cursor, value) && cursor.isAtEnd();
}

} // namespace gentiancross::codec
