#pragma once

#include "main/command.h"

namespace gentiancross {

/** "report": prints the daily report. */
class ReportCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "report"; }
    [[nodiscard]] std::string summary() const override
    {
        return "says whether a day went well, as text, JSON or an HTML page";
    }
    ExitCode run(const std::vector<std::string> &words) override;
};

/** "policy": sets the wait limits that the daily report applies. */
class PolicyCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "policy"; }
    [[nodiscard]] std::string summary() const override
    {
        return "sets how long work may wait before the report calls it too long";
    }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
