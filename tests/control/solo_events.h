#pragma once

#include "control/host_reducer.h"

#include <cstdint>
#include <string>

namespace gentiancross::tests {

inline constexpr char SoloOperatorHash[] = "operator";

/** Options for the reducer of a host that has a disk and is the only host of its data centre. */
inline HostReducerOptions soloOptions(const std::string &run)
{
    HostReducerOptions options;
    const HostId self("solo");
    options.directory.self = self;
    options.directory.hosts[self] = {self, DataCentreId("hobart"), true};
    options.directory.initialVoters = {self};
    options.identity = {makeReplica(self, true, "1"), SessionId(run)};
    options.operatorKey = KeyHash(SoloOperatorHash);
    return options;
}

inline OperatorChangeReceived operatorChange(std::uint64_t exchange, const std::string &name,
                                             const ReplicatedCommand &command)
{
    OperatorChangeReceived event;
    event.exchange = ExchangeId(exchange);
    event.caller.key = KeyHash(SoloOperatorHash);
    event.requestName = name;
    event.change = command;
    return event;
}

/** An announcement of a worker that runs nothing; the caller sets its capacity. */
inline AnnouncementReceived soloAnnouncement(std::uint64_t exchange, const std::string &worker,
                                             const std::string &rack)
{
    AnnouncementReceived event;
    event.exchange = ExchangeId(exchange);
    event.announcement.worker = WorkerId(worker);
    event.announcement.address = "http://w";
    event.announcement.dataCentre = DataCentreId("hobart");
    event.announcement.rack = RackId(rack);
    event.announcement.connections = Slots(64);
    return event;
}

} // namespace gentiancross::tests
