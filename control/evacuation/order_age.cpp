#include "control/evacuation/order_age.h"

namespace gentiancross::evacuation {

CellCall withAge(CellCall call, Milliseconds age)
{
    if (auto *const begin = std::get_if<BeginEvacuation>(&call))
        begin->age = age;
    else if (auto *const end = std::get_if<EndEvacuation>(&call))
        end->age = age;
    return call;
}

} // namespace gentiancross::evacuation
