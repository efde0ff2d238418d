#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** One parsed line of a scenario: a verb, its words, and its options of the form name=value. */
struct ScenarioLine
{
    int number = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;

    [[nodiscard]] std::string option(const std::string &name,
                                     const std::string &fallback = {}) const;
    [[nodiscard]] std::int64_t number64(const std::string &name, std::int64_t fallback) const;
    [[nodiscard]] std::string word(std::size_t index) const;

    /** Parses one line of text; the verb is empty for a comment or an empty line. */
    static ScenarioLine parse(const std::string &text, int number);
};

} // namespace gentiancross::tests
