#pragma once

#include "main/command.h"

namespace gentiancross {

/** "timeline": merges the timelines of several entry hosts in causal order. */
class TimelineCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "timeline"; }
    [[nodiscard]] std::string summary() const override
    {
        return "shows the steps of all entry hosts, in causal order";
    }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
