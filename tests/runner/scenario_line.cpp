#include "tests/runner/scenario_line.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <iostream>

namespace gentiancross::tests {

std::string ScenarioLine::option(const std::string &name, const std::string &fallback) const
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

std::int64_t ScenarioLine::number64(const std::string &name, std::int64_t fallback) const
{
    const auto found = options.find(name);
    std::int64_t value = fallback;
    if (found != options.end() && !absl::SimpleAtoi(found->second, &value))
        std::cerr << "line " << number << ": option " << name << " must be a number\n";
    return value;
}

std::string ScenarioLine::word(std::size_t index) const
{
    return index < words.size() ? words[index] : std::string();
}

ScenarioLine ScenarioLine::parse(const std::string &text, int number)
{
    ScenarioLine line;
    line.number = number;
    const std::string content = text.substr(0, text.find('#'));
    for (const auto part : absl::StrSplit(content, absl::ByAnyChar(" \t"), absl::SkipEmpty())) {
        const std::string word(part);
        const std::size_t equals = word.find('=');
        if (line.verb.empty())
            line.verb = word;
        else if (equals != std::string::npos && equals > 0)
            line.options[word.substr(0, equals)] = word.substr(equals + 1);
        else
            line.words.push_back(word);
    }
    return line;
}

} // namespace gentiancross::tests
