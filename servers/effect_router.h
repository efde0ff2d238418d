#pragma once

#include "servers/event_sink.h"

#include <functional>

namespace gentiancross {

/** Dispatches each effect to the handler of its type. Thread safety: the control thread. */
class EffectRouter final : public EffectHandler
{
public:
    struct Handlers
    {
        EffectHandler &frontend;
        EffectHandler &peers;
        EffectHandler &startOrders;
        /** Null on a host without a data folder; such a host gets no Persist effects. */
        EffectHandler *journal = nullptr;
        std::function<void()> exit;
        /** Null on a host that belongs to no cell. */
        EffectHandler *cellWorkers = nullptr;
        /** Null to write log lines synchronously. */
        EffectHandler *log = nullptr;
        /** Null to drop measurements. */
        EffectHandler *metrics = nullptr;
    };

    explicit EffectRouter(Handlers handlers)
        : m_handlers(std::move(handlers))
    {}

    void carryOut(Effect effect) override;

private:
    [[nodiscard]] EffectHandler *findHandler(const Effect &effect) const;

    Handlers m_handlers;
};

} // namespace gentiancross
