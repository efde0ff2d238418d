#pragma once

#include "tests/clients/client_crowd.h"
#include "tests/clients/small_cell.h"

#include <cstddef>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** The bounds of a case are the limits in the settings of the hosts. */
inline constexpr HostLimits EntryLimits = {48, 1024};
/** Operators' documents and heartbeats are sent to a keeper with the memory of a real one. */
inline constexpr HostLimits RealKeeperLimits = {384, 4096};

/** The address that a crowd connects to. */
enum class Target { Front, Ready, Control, Peer, Metrics };

struct CrowdCase
{
    std::string name;
    Target target;
    std::size_t crowd;
    ClientScript script;
    /** Of the host that the crowd connects to. */
    HostLimits limits;
    std::size_t configurationBytes = 0;
    /** Of the other host. */
    HostLimits otherLimits = RealKeeperLimits;
};

/** All functions here are reentrant. */
std::vector<CrowdCase> crowdCases();

/** A request whose body has a declared length, complete. */
std::string declaredRequest(const std::string &method, const std::string &path,
                            const std::string &body);
/** A request whose body is sent in chunks of \a chunkBytes, complete. */
std::string chunkedRequest(const std::string &path, const std::string &body,
                           std::size_t chunkBytes);

} // namespace gentiancross::tests
