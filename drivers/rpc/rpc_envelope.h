#pragma once

#include <string>

/**
 * Adds and removes the envelope of a JSON-RPC 2.0 notification with one parameter, as text. All
 * functions are reentrant.
 */
namespace gentiancross::rpcenvelope {

/** Returns a call of \a method with \a json, the text of one JSON value, as its parameter.
 * Precondition: \a method contains no characters that JSON escapes. */
std::string wrap(const std::string &method, const std::string &json);

/** Sets \a json to the parameter of a call that wrap() composed for \a method. Returns false for
 * any other text. The parameter itself is not validated. */
bool unwrap(const std::string &method, const std::string &call, std::string &json);

} // namespace gentiancross::rpcenvelope
