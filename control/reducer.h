#pragma once

#include "core/effects.h"

namespace gentiancross {

/** Takes every event of a host in and says what is to be done. Owned by the control thread. */
class Reducer
{
public:
    Reducer() = default;
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;
    virtual ~Reducer() = default;

    /** Takes one event in and returns its effects. Precondition: Recovered comes first, once. */
    virtual Effects reduce(const Event &event) = 0;
};

} // namespace gentiancross
