#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "drivers/json_cursor.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentiancross {

/**
 * Reads the members of JSON objects from an external source into typed fields, in the order of the
 * text and without a tree of it, and records the first error. After an error nothing more is read.
 * Members that are missing keep their defaults. Thread safety: one thread at a time.
 */
class JsonMemberReader
{
public:
    using Json = simdjson::ondemand::value;

    /** How a member of \a Record is read: by its name and a function without state. */
    template <typename Record>
    struct Member
    {
        std::string_view name;
        void (*read)(JsonMemberReader &reader, Json json, Record &record);
    };

    /** Reads an object. Members without an entry in \a members are skipped. */
    template <typename Record, std::size_t Count>
    void readObject(Json json, const std::array<Member<Record>, Count> &members, Record &record)
    {
        simdjson::ondemand::object object;
        if (json.get_object().get(object) != simdjson::SUCCESS) {
            fail("a JSON object is needed");
            return;
        }
        std::array<bool, Count> wasRead = {};
        for (auto field : object) {
            std::string_view name;
            Json value;
            if (field.unescaped_key().get(name) != simdjson::SUCCESS
                || field.value().get(value) != simdjson::SUCCESS) {
                failMalformed();
                return;
            }
            std::size_t index = 0;
            while (index < Count && members[index].name != name)
                ++index;
            if (index == Count) {
                skip(value);
            } else if (wasRead[index]) {
                fail(std::string(name) + " is given twice");
            } else {
                wasRead[index] = true;
                m_name = members[index].name;
                members[index].read(*this, value, record);
            }
            if (!m_error.empty())
                return;
        }
    }

    void read(Json json, bool &value);
    void read(Json json, std::uint32_t &value);
    /** Reads a number from 0 to \a maximum. */
    void read(Json json, double &value, double maximum);
    /** Reads a text of at most \a maxBytes bytes. */
    void read(Json json, std::string &value, std::size_t maxBytes = SIZE_MAX);

    /** Reads a whole number of 0 or more. */
    template <typename Tag>
    void read(Json json, Quantity<Tag> &value)
    {
        std::int64_t number = value.value();
        readNumber(json, number);
        value = Quantity<Tag>(number);
    }

    /** Records an error, unless there was one before. */
    void fail(const std::string &what);
    /** Records that the text is no JSON. */
    void failMalformed() { fail("the text is malformed"); }
    /** The first error; empty if there was none. */
    [[nodiscard]] const std::string &error() const { return m_error; }

private:
    void readNumber(Json json, std::int64_t &value);
    void skip(Json json);
    /** Records an error of the member that is being read. */
    void failMember(const std::string &what);

    std::string_view m_name;
    std::string m_error;
};

} // namespace gentiancross
