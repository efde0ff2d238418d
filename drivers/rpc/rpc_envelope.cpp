#include "drivers/rpc/rpc_envelope.h"

namespace gentiancross::rpcenvelope {

namespace {

constexpr char CallSuffix[] = "]}";
constexpr std::size_t CallSuffixLength = sizeof CallSuffix - 1;

std::string callPrefix(const std::string &method)
{
    return R"({"jsonrpc":"2.0","method":")" + method + R"(","params":[)";
}

} // namespace

std::string wrap(const std::string &method, const std::string &json)
{
    std::string call = callPrefix(method);
    call.reserve(call.size() + json.size() + CallSuffixLength);
    call += json;
    return call += CallSuffix;
}

bool unwrap(const std::string &method, const std::string &call, std::string &json)
{
    const std::string prefix = callPrefix(method);
    const bool isWrapped = call.size() > prefix.size() + CallSuffixLength
            && call.compare(0, prefix.size(), prefix) == 0
            && call.compare(call.size() - CallSuffixLength, CallSuffixLength, CallSuffix) == 0;
    if (isWrapped)
        json = call.substr(prefix.size(), call.size() - prefix.size() - CallSuffixLength);
    return isWrapped;
}

} // namespace gentiancross::rpcenvelope
