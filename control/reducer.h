#pragma once

#include "core/effects.h"

namespace gentiancross {

/** Turns each event of a host into effects to be carried out. Owned by the control thread. */
class Reducer
{
public:
    Reducer() = default;
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;
    virtual ~Reducer() = default;

    /** Applies one event and returns its effects. Precondition: Recovered is the first event and
     * occurs once. */
    virtual Effects reduce(const Event &event) = 0;
};

} // namespace gentiancross
