#pragma once

#include <absl/status/status.h>
#include <tclap/CmdLine.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gentiancross {

/**
 * Parses the command line of one verb with TCLAP. Text and number flags can also be set by an
 * environment variable; a flag on the command line overrides it. Thread safety: one thread.
 */
class Arguments
{
public:
    /** \a verb and \a summary appear in the help. */
    Arguments(const std::string &verb, const std::string &summary);
    Arguments(const Arguments &) = delete;
    Arguments &operator=(const Arguments &) = delete;
    ~Arguments();

    /** Declares "--name", whose variable is GENTIANCROSS_NAME. The referenced value is set by
     * parse. */
    const std::string &addText(const std::string &name, const std::string &help,
                               const std::string &fallback = {});
    const std::int64_t &addNumber(const std::string &name, const std::string &help,
                                  std::int64_t fallback, std::int64_t minimum,
                                  std::int64_t maximum);
    const bool &addFlag(const std::string &name, const std::string &help);
    /** Declares a required positional argument. */
    const std::string &addWord(const std::string &name, const std::string &help);

    /**
     * Parses \a words, the verb first. Error: InvalidArgument with Step::Settings, naming the flag.
     * Returns Cancelled after printing the help if that was requested.
     */
    absl::Status parse(const std::vector<std::string> &words);

private:
    struct Text;
    struct Number;
    struct Flag;
    struct Word;

    absl::Status readText(Text &text) const;
    absl::Status readNumber(Number &number) const;

    TCLAP::CmdLine m_line;
    std::vector<std::unique_ptr<Text>> m_texts;
    std::vector<std::unique_ptr<Number>> m_numbers;
    std::vector<std::unique_ptr<Flag>> m_flags;
    std::vector<std::unique_ptr<Word>> m_words;
};

/** The name of a flag's environment variable: GENTIANCROSS_KEY_GRACE_MS for "key-grace-ms".
 * Reentrant. */
std::string environmentVariableName(const std::string &flag);

/** Returns the variable's value, or an empty string. Reentrant as long as the environment does not
 * change. */
std::string readEnvironment(const std::string &variable);

} // namespace gentiancross
