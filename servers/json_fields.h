#pragma once

#include "core/work.h"

#include <json/json.h>

#include <cstdint>
#include <string>

namespace gentiancross {

/**
 * Reads and validates named members of a JSON object from an external source, and records the
 * first error. Missing members keep their defaults. Thread safety: one thread at a time.
 */
class JsonFields
{
public:
    /** \a json must outlive this object. */
    explicit JsonFields(const Json::Value &json);

    void read(const char *name, std::string &value);
    void read(const char *name, bool &value);
    void read(const char *name, std::uint32_t &value);
    /** Reads a number of 0 or more. */
    void read(const char *name, double &value);
    void read(const char *name, Labels &value);
    void read(const char *name, Resources &value);

    /** Reads a string into an id. */
    template <typename Tag>
    void read(const char *name, TextId<Tag> &value)
    {
        std::string text = value.value();
        read(name, text);
        value = TextId<Tag>(std::move(text));
    }

    template <typename Tag>
    void read(const char *name, NumberId<Tag> &value)
    {
        std::int64_t number = static_cast<std::int64_t>(value.value());
        readNumber(name, number);
        value = NumberId<Tag>(static_cast<std::uint64_t>(number));
    }

    /** Reads a whole number of 0 or more into a quantity. */
    template <typename Tag>
    void read(const char *name, Quantity<Tag> &value)
    {
        std::int64_t number = value.value();
        readNumber(name, number);
        value = Quantity<Tag>(number);
    }

    void read(const char *name, Instant &value);

    /** Returns the array member \a name, or an empty array if it is missing. */
    const Json::Value &list(const char *name);

    /** Records an error if \a value is empty. */
    void require(const char *name, const std::string &value);

    /** Records an error, unless there was one before. */
    void fail(const std::string &what);
    /** The first error; empty if there was none. */
    [[nodiscard]] const std::string &error() const { return m_error; }

private:
    void readNumber(const char *name, std::int64_t &value);

    const Json::Value &m_json;
    std::string m_error;
};

/** Encodes \a resources with the member names that JsonFields reads. Reentrant. */
Json::Value resourcesToJson(const Resources &resources);

} // namespace gentiancross
