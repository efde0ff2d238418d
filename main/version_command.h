#pragma once

#include "main/command.h"

namespace gentiancross {

/** "version": prints the version of this binary. */
class VersionCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "version"; }
    [[nodiscard]] std::string summary() const override { return "prints the version"; }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
