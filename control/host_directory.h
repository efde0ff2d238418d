#pragma once

#include "core/ids.h"

#include <map>
#include <vector>

namespace gentiancross {

/** An entry host as described in the settings. */
struct HostInfo
{
    HostId host;
    DataCentreId dataCentre;
    bool hasStore = false;
};

/** All entry hosts named in the settings, including this one. Immutable. */
struct HostDirectory
{
    HostId self;
    std::map<HostId, HostInfo> hosts;
    /** The address of this host for callers and workers, as "ip:port". */
    std::string callerAddress;
    /** The hosts whose fresh stores form the initial membership of the log. */
    std::vector<HostId> initialVoters;

    [[nodiscard]] const HostInfo &own() const { return hosts.at(self); }
    [[nodiscard]] bool knows(const HostId &host) const { return hosts.contains(host); }
};

/** Identifies this process. A durable replica's id survives restarts; a session's id never does. */
struct Identity
{
    ReplicaId replica;
    SessionId session;
};

} // namespace gentiancross
