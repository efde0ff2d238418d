#pragma once

#include <absl/status/status.h>
#include <tclap/CmdLine.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gentiancross {

/**
 * The flags of one verb, on TCLAP. Each flag can be given by an environment variable too; the flag
 * goes before the variable. Thread safety: one thread.
 */
class Arguments
{
public:
    /** \a verb is named in the help. */
    Arguments(const std::string &verb, const std::string &summary);
    Arguments(const Arguments &) = delete;
    Arguments &operator=(const Arguments &) = delete;
    ~Arguments();

    /** Declares "--name", whose variable is GENTIANCROSS_NAME. The result is valid after parse. */
    const std::string &text(const std::string &name, const std::string &help,
                            const std::string &fallback = {});
    const std::int64_t &number(const std::string &name, const std::string &help,
                               std::int64_t fallback, std::int64_t least, std::int64_t most);
    const bool &flag(const std::string &name, const std::string &help);
    /** Declares a word that must stand on the line. */
    const std::string &word(const std::string &name, const std::string &help);

    /**
     * Reads \a words, the verb first. Error: InvalidArgument with Step::Settings, naming the flag.
     * Returns Cancelled after having printed the help that was asked for.
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

/** The environment variable of a flag: "key-grace-ms" gives GENTIANCROSS_KEY_GRACE_MS. Reentrant.
 */
std::string environmentVariableName(const std::string &flag);

/** The variable's value, or an empty text. Reentrant while nobody changes the environment. */
std::string readEnvironment(const std::string &variable);

} // namespace gentiancross
