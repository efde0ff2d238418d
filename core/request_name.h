#pragma once

#include "core/ids.h"

#include <string>

namespace gentiancross {

/** Names that the system gave begin so; nobody resends under them after the answer. */
inline constexpr char AutomaticNamePrefix = '~';

/** The full name "data centre:team:name". Reentrant. */
RequestId makeRequestName(const DataCentreId &dataCentre, const TeamId &team,
                          const std::string &localName);

/** The data centre in which the request lives. Reentrant. */
DataCentreId dataCentreOf(const RequestId &request);

/** The last part of a request's name, as its caller or the system gave it. Reentrant. */
std::string localNameOf(const RequestId &request);

/** True if the system gave the name. Reentrant. */
bool isAutomatic(const RequestId &request);

} // namespace gentiancross
