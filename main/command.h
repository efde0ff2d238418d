#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace gentiancross {

/** Exit codes that scripts can rely on. */
enum class ExitCode {
    Success = 0,
    /** The system refused the call or could not carry it out. */
    Refused = 1,
    /** A flag, an environment variable or the data folder is invalid; nothing was sent. */
    BadSettings = 2,
    /** No complete answer arrived; the call may have taken effect. */
    NoAnswer = 3,
    /** The request was accepted and its outcome is not known yet, or the change is not in force on
     * all hosts yet. */
    Pending = 4,
};

/** A verb of the command line, run by main. Thread safety: one thread. */
class Command
{
public:
    Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;
    virtual ~Command() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    [[nodiscard]] virtual std::string summary() const = 0;
    /** True if the verb runs a MainLoop, which signals have to wait for. */
    [[nodiscard]] virtual bool handlesSignals() const { return false; }
    /** Runs the verb. \a words starts with the verb. Errors are printed on one line. */
    virtual ExitCode run(const std::vector<std::string> &words) = 0;
};

/** Prints the error on one line and returns its exit code; Success if help was requested. */
ExitCode reportSettingsError(const absl::Status &status);

} // namespace gentiancross
