#include "main/arguments.h"

#include "core/error.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace gentiancross {

namespace {

constexpr char ProductVersion[] = "0.1.0";

absl::Status badSetting(const std::string &message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::Settings, "", message);
}

} // namespace

struct Arguments::Text
{
    TCLAP::ValueArg<std::string> argument;
    std::string name;
    std::string value;
};

struct Arguments::Number
{
    TCLAP::ValueArg<std::string> argument;
    std::string name;
    std::int64_t value;
    std::int64_t least;
    std::int64_t most;
};

struct Arguments::Flag
{
    TCLAP::SwitchArg argument;
    bool value = false;
};

struct Arguments::Word
{
    TCLAP::UnlabeledValueArg<std::string> argument;
    std::string value;
};

Arguments::Arguments(const std::string &verb, const std::string &summary)
    : m_line("gentiancross " + verb + ": " + summary, ' ', ProductVersion)
{
    m_line.setExceptionHandling(false);
}

Arguments::~Arguments() = default;

const std::string &Arguments::text(const std::string &name, const std::string &help,
                                   const std::string &fallback)
{
    const std::string described = help + " [" + environmentVariableName(name) + ']';
    m_texts.emplace_back(
            new Text{{"", name, described, false, "", "text", m_line}, name, fallback});
    return m_texts.back()->value;
}

const std::int64_t &Arguments::number(const std::string &name, const std::string &help,
                                      std::int64_t fallback, std::int64_t least, std::int64_t most)
{
    const std::string described = help + " [" + environmentVariableName(name) + ']';
    m_numbers.emplace_back(new Number{
            {"", name, described, false, "", "number", m_line}, name, fallback, least, most});
    return m_numbers.back()->value;
}

const bool &Arguments::flag(const std::string &name, const std::string &help)
{
    m_flags.emplace_back(new Flag{{"", name, help, m_line, false}});
    return m_flags.back()->value;
}

const std::string &Arguments::word(const std::string &name, const std::string &help)
{
    m_words.emplace_back(new Word{{name, help, true, "", name, m_line}, {}});
    return m_words.back()->value;
}

absl::Status Arguments::readText(Text &text) const
{
    const std::string variable = readEnvironment(environmentVariableName(text.name));
    if (text.argument.isSet())
        text.value = text.argument.getValue();
    else if (!variable.empty())
        text.value = variable;
    return absl::OkStatus();
}

absl::Status Arguments::readNumber(Number &number) const
{
    const std::string given = number.argument.isSet()
            ? number.argument.getValue()
            : readEnvironment(environmentVariableName(number.name));
    if (given.empty())
        return absl::OkStatus();
    const bool isSound = absl::SimpleAtoi(given, &number.value) && number.value >= number.least
            && number.value <= number.most;
    if (!isSound)
        return badSetting("--" + number.name + " must be a whole number from "
                          + std::to_string(number.least) + " to " + std::to_string(number.most)
                          + ", not \"" + given + '"');
    return absl::OkStatus();
}

absl::Status Arguments::parse(const std::vector<std::string> &words)
{
    std::vector<std::string> copy = words;
    try {
        m_line.parse(copy);
    } catch (const TCLAP::ArgException &exception) {
        return badSetting(exception.error() + ' ' + exception.argId());
    } catch (const TCLAP::ExitException &) {
        return absl::CancelledError("help was shown");
    }
    for (auto &text : m_texts) {
        absl::Status status = readText(*text);
        if (!status.ok())
            return status;
    }
    for (auto &number : m_numbers) {
        absl::Status status = readNumber(*number);
        if (!status.ok())
            return status;
    }
    for (auto &flag : m_flags)
        flag->value = flag->argument.getValue();
    for (auto &word : m_words)
        word->value = word->argument.getValue();
    return absl::OkStatus();
}

std::string environmentVariableName(const std::string &flag)
{
    std::string variable = "GENTIANCROSS_" + flag;
    std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char character) {
        return character == '-' ? '_' : static_cast<char>(std::toupper(character));
    });
    return variable;
}

std::string readEnvironment(const std::string &variable)
{
    const char *const value = std::getenv(variable.c_str());
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace gentiancross
