#include "core/request_name.h"

namespace gentiancross {

RequestId makeRequestName(const DataCentreId &dataCentre, const TeamId &team,
                          const std::string &localName)
{
    return RequestId(dataCentre.value() + ':' + team.value() + ':' + localName);
}

DataCentreId dataCentreOf(const RequestId &request)
{
    return DataCentreId(request.value().substr(0, request.value().find(':')));
}

std::string localNameOf(const RequestId &request)
{
    const std::size_t first = request.value().find(':');
    const std::size_t second = request.value().find(':', first + 1);
    return second == std::string::npos ? std::string() : request.value().substr(second + 1);
}

bool isAutomatic(const RequestId &request)
{
    return localNameOf(request).starts_with(AutomaticNamePrefix);
}

} // namespace gentiancross
