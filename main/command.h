#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace gentiancross {

/** Exit codes that scripts can rely on. */
enum class ExitCode {
    Success = 0,
    /** The system answered that it would not or could not. */
    Refused = 1,
    /** A flag, a variable or the data folder is wrong; nothing was sent. */
    BadSettings = 2,
    /** No whole answer came; what was asked may have been done. */
    NoAnswer = 3,
    /** The request was accepted and its end is not known yet, or the change is not in force
       everywhere. */
    Pending = 4,
};

/** A verb of the binary. Thread safety: one thread. */
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    [[nodiscard]] virtual std::string summary() const = 0;
    /** Runs the verb. \a words begins with the verb. Errors are printed in one line. */
    virtual ExitCode run(const std::vector<std::string> &words) = 0;
};

/** Prints the error in one line, unless help was asked for, and returns its exit code. */
ExitCode reportSettingsError(const absl::Status &status);

} // namespace gentiancross
