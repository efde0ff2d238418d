#pragma once

#include "main/command.h"

namespace gentiancross {

/** "evacuation": orders that nothing more is started in a data centre of a cell, withdraws that, or
 * lists such orders. */
class EvacuationCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "evacuation"; }
    [[nodiscard]] std::string summary() const override
    {
        return "begins or finishes the evacuation of a data centre of a cell, or lists them";
    }
    ExitCode run(const std::vector<std::string> &words) override;
};

} // namespace gentiancross
