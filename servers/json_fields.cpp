#include "servers/json_fields.h"

namespace gentiancross {

namespace {

/** Exceeds every valid quantity; small enough that sums of many values can't overflow. */
constexpr std::int64_t MaxNumber = 1LL << 53;

const Json::Value &emptyList()
{
    static const Json::Value list(Json::arrayValue);
    return list;
}

} // namespace

JsonFields::JsonFields(const Json::Value &json)
    : m_json(json)
{
    if (!json.isObject())
        fail("a JSON object is needed");
}

void JsonFields::fail(const std::string &what)
{
    if (m_error.empty())
        m_error = what;
}

void JsonFields::read(const char *name, std::string &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    if (m_json[name].isString())
        value = m_json[name].asString();
    else
        fail(std::string(name) + " must be a text");
}

void JsonFields::read(const char *name, bool &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    if (m_json[name].isBool())
        value = m_json[name].asBool();
    else
        fail(std::string(name) + " must be true or false");
}

void JsonFields::readNumber(const char *name, std::int64_t &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    const Json::Value &json = m_json[name];
    if (json.isInt64() && json.asInt64() >= 0 && json.asInt64() <= MaxNumber)
        value = json.asInt64();
    else
        fail(std::string(name) + " must be a whole number of 0 or more");
}

void JsonFields::read(const char *name, std::uint32_t &value)
{
    std::int64_t number = value;
    readNumber(name, number);
    if (number > UINT32_MAX)
        fail(std::string(name) + " is too large");
    else
        value = static_cast<std::uint32_t>(number);
}

void JsonFields::read(const char *name, double &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    const Json::Value &json = m_json[name];
    if (json.isNumeric() && json.asDouble() >= 0 && json.asDouble() <= double(MaxNumber))
        value = json.asDouble();
    else
        fail(std::string(name) + " must be a number of 0 or more");
}

void JsonFields::read(const char *name, Instant &value)
{
    std::int64_t number = value.value();
    readNumber(name, number);
    value = Instant(number);
}

void JsonFields::read(const char *name, Labels &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    const Json::Value &json = m_json[name];
    if (!json.isObject()) {
        fail(std::string(name) + " must be an object of texts");
        return;
    }
    for (const std::string &label : json.getMemberNames()) {
        if (json[label].isString())
            value[label] = json[label].asString();
        else
            fail(std::string(name) + '.' + label + " must be a text");
    }
}

void JsonFields::read(const char *name, Resources &value)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return;
    JsonFields fields(m_json[name]);
    fields.read("millicores", value.cores);
    fields.read("memory_mib", value.memory);
    fields.read("accelerators", value.accelerators);
    fields.read("slots", value.slots);
    if (!fields.error().empty())
        fail(std::string(name) + ": " + fields.error());
}

const Json::Value &JsonFields::list(const char *name)
{
    if (!m_error.empty() || !m_json.isMember(name))
        return emptyList();
    if (m_json[name].isArray())
        return m_json[name];
    fail(std::string(name) + " must be a list");
    return emptyList();
}

void JsonFields::require(const char *name, const std::string &value)
{
    if (value.empty())
        fail(std::string(name) + " is missing");
}

Json::Value resourcesToJson(const Resources &resources)
{
    Json::Value json;
    json["millicores"] = static_cast<Json::Int64>(resources.cores.value());
    json["memory_mib"] = static_cast<Json::Int64>(resources.memory.value());
    json["accelerators"] = static_cast<Json::Int64>(resources.accelerators.value());
    json["slots"] = static_cast<Json::Int64>(resources.slots.value());
    return json;
}

} // namespace gentiancross
