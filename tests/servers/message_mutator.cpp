#include "tests/servers/message_mutator.h"

#include "drivers/codec.h"

#include <algorithm>
#include <array>
#include <limits>

namespace gentiancross::tests {

namespace {

constexpr std::uint64_t MaxChanges = 3;
constexpr std::size_t DeepNesting = 3000;
constexpr int TreeNesting = 300;
constexpr std::size_t LongText = 5000;

const std::array<std::string, 8> hostileTexts
        = {"-1",  "1e999",       "18446744073709551616", "\"\xff\xfe\xc3\"", "{\"a\":1,\"a\":2}",
           "NaN", "\"\\ud800\"", std::string(1, '\0')};

void collectNodes(Json::Value &json, std::vector<Json::Value *> &nodes)
{
    nodes.push_back(&json);
    if (json.isArray() || json.isObject()) {
        for (Json::Value &element : json)
            collectNodes(element, nodes);
    }
}

} // namespace

MessageMutator::MessageMutator(std::uint64_t seed)
    : m_random(seed)
{}

std::uint64_t MessageMutator::below(std::uint64_t bound)
{
    return m_random() % bound;
}

Json::Value MessageMutator::hostileValue()
{
    constexpr std::int64_t Largest = std::numeric_limits<std::int64_t>::max();
    Json::Value nested(Json::arrayValue);
    for (int depth = 0; depth < TreeNesting; ++depth) {
        Json::Value outer(Json::arrayValue);
        outer.append(std::move(nested));
        nested = std::move(outer);
    }
    const std::array<Json::Value, 20> values
            = {Json::Value(),
               Json::Value(0),
               Json::Value(1),
               Json::Value(-1),
               Json::Value(7),
               Json::Value(Json::Int64(1) << 32),
               Json::Value((Json::Int64(1) << 32) + 1),
               Json::Value(Json::Int64(1) << 53),
               Json::Value(Json::Int64(Largest)),
               Json::Value(Json::Int64(-Largest - 1)),
               Json::Value(Json::UInt64(std::numeric_limits<std::uint64_t>::max())),
               Json::Value(1e300),
               Json::Value(-1e300),
               Json::Value(0.5),
               Json::Value(""),
               Json::Value("\xff\xfe"),
               Json::Value(std::string(LongText, 'x')),
               Json::Value(true),
               Json::Value(Json::arrayValue),
               std::move(nested)};
    return values.at(below(values.size()));
}

void MessageMutator::mutateTreeOnce(Json::Value &json)
{
    std::vector<Json::Value *> nodes;
    collectNodes(json, nodes);
    Json::Value &node = *nodes.at(below(nodes.size()));
    constexpr std::uint64_t Kinds = 6;
    const std::uint64_t kind = below(Kinds);
    const bool isArray = node.isArray() && !node.empty();
    if (isArray && kind == 0) {
        const Json::Value element = node[static_cast<Json::ArrayIndex>(below(node.size()))];
        node.append(element);
    } else if (isArray && kind == 1) {
        node.resize(static_cast<Json::ArrayIndex>(below(node.size())));
    } else if (isArray && kind == 2) {
        std::swap(node[0], node[static_cast<Json::ArrayIndex>(below(node.size()))]);
    } else if (node.isObject() && !node.empty() && kind == 3) {
        const std::vector<std::string> names = node.getMemberNames();
        node.removeMember(names.at(below(names.size())));
    } else {
        node = hostileValue();
    }
}

Json::Value MessageMutator::mutateTree(Json::Value json)
{
    for (std::uint64_t changes = below(MaxChanges) + 1; changes > 0; --changes)
        mutateTreeOnce(json);
    return json;
}

std::string MessageMutator::mutateTextOnce(std::string text)
{
    constexpr std::uint64_t Kinds = 6;
    constexpr std::uint64_t Bytes = 256;
    const std::size_t at = below(text.size() + 1);
    switch (below(Kinds)) {
    case 0:
        return text.substr(0, at);
    case 1:
        if (at < text.size())
            text[at] = static_cast<char>(below(Bytes));
        return text;
    case 2:
        return text.insert(at, hostileTexts.at(below(hostileTexts.size())));
    case 3:
        return text.erase(at, below(text.size() + 1));
    case 4:
        return text.insert(at, text.substr(below(text.size() + 1)));
    default:
        return text.insert(at, std::string(DeepNesting, '['));
    }
}

std::string MessageMutator::mutate(const std::string &valid)
{
    Json::Value json;
    if (below(3) > 0 && codec::parseJson(valid, json))
        return codec::formatJson(mutateTree(std::move(json)));
    std::string text = valid;
    for (std::uint64_t changes = below(MaxChanges) + 1; changes > 0; --changes)
        text = mutateTextOnce(std::move(text));
    return text;
}

} // namespace gentiancross::tests
