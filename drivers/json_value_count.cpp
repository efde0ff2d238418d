#include "drivers/json_value_count.h"

namespace gentiancross {

std::size_t countJsonValues(std::string_view text)
{
    std::size_t count = 1;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (character == '"')
            isInString = !isInString;
        else if (isInString && character == '\\')
            ++index; // An escaped quote does not end the string.
        else if (!isInString && (character == ',' || character == '[' || character == '{'))
            ++count;
    }
    return count;
}

} // namespace gentiancross
