#pragma once

#include "main/command.h"

namespace gentiancross {

/** "cell": runs a host of a cell, configured by the platform's settings file. */
class CellCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "cell"; }
    [[nodiscard]] std::string summary() const override
    {
        return "runs a host of a cell on a platform";
    }
    [[nodiscard]] bool handlesSignals() const override { return true; }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
