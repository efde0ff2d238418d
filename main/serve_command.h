#pragma once

#include "main/command.h"

namespace gentiancross {

/** "serve": runs an entry host. */
class ServeCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "serve"; }
    [[nodiscard]] std::string summary() const override { return "runs an entry host"; }
    [[nodiscard]] bool handlesSignals() const override { return true; }
    ExitCode run(const std::vector<std::string> &words) override;
};

/** "check-settings": validates the settings of "serve" and prints them. */
class CheckSettingsCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "check-settings"; }
    [[nodiscard]] std::string summary() const override
    {
        return "checks the settings of serve, without serving";
    }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
