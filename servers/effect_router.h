#pragma once

#include "servers/event_sink.h"

#include <functional>

namespace gentiancross {

/** Hands each effect to the server that carries it out. Thread safety: the control thread. */
class EffectRouter final : public EffectHandler
{
public:
    struct Handlers
    {
        EffectHandler &front;
        EffectHandler &peers;
        EffectHandler &startOrders;
        /** Null on a host without a data folder, which is asked to persist nothing. */
        EffectHandler *journal = nullptr;
        std::function<void()> exit;
        /** Null on a host that is in no cell. */
        EffectHandler *cellWorkers = nullptr;
        /** Null to write lines at once. */
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
