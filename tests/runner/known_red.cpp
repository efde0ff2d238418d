#include "tests/runner/known_red.h"

#include <fstream>

namespace gentiancross::tests {

std::set<std::string> readKnownRed(const std::string &path)
{
    std::set<std::string> names;
    std::ifstream file(path);
    std::string text;
    while (std::getline(file, text)) {
        if (!text.empty() && text.front() != '#')
            names.insert(text.substr(0, text.find(' ')));
    }
    return names;
}

} // namespace gentiancross::tests
