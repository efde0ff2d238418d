#pragma once

#include "control/jobs/config_rules.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/**
 * Finds the queue of a call among the thousands that a document may have. The time that a look-up
 * takes depends on the number of different prefix lengths of the host, not on the number of queues.
 * Thread safety: owned by the control thread.
 */
class QueueIndex
{
public:
    /** Indexes the queues of \a document, unless they are indexed already. */
    void update(const SharedDocument &document);

    /** The queue of \a host with the longest prefix of \a path; nullopt if there is none. Valid
     * until the next update. */
    [[nodiscard]] std::optional<QueueMatch> find(const std::string &host,
                                                 const std::string &path) const;

private:
    using QueuesByPrefix = std::unordered_map<std::string_view, const QueueConfig *>;

    struct Host
    {
        QueuesByPrefix queues;
        /** The lengths of all prefixes, the longest first. */
        std::vector<std::size_t> prefixLengths;
    };

    /** Owns what the index refers to. */
    SharedDocument m_document;
    std::unordered_map<std::string_view, Host> m_hosts;
};

} // namespace gentiancross
