#include "control/jobs/queue_index.h"

#include <algorithm>

namespace gentiancross {

void QueueIndex::update(const SharedDocument &document)
{
    if (m_document.isSame(document))
        return;
    m_document = document;
    m_hosts.clear();
    if (!document.has_value())
        return;
    for (const QueueConfig &queue : document->queues) {
        Host &host = m_hosts[queue.host];
        // The first of several queues at one place counts; valid documents have one.
        host.queues.try_emplace(queue.pathPrefix, &queue);
        const std::size_t length = queue.pathPrefix.size();
        std::vector<std::size_t> &lengths = host.prefixLengths;
        const auto place = std::lower_bound(lengths.begin(), lengths.end(), length,
                                            std::greater<std::size_t>());
        if (place == lengths.end() || *place != length)
            lengths.insert(place, length);
    }
}

std::optional<QueueMatch> QueueIndex::find(const std::string &host, const std::string &path) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return std::nullopt;
    for (const std::size_t length : found->second.prefixLengths) {
        if (length > path.size())
            continue;
        const auto queue = found->second.queues.find(std::string_view(path).substr(0, length));
        if (queue != found->second.queues.end())
            return QueueMatch{queue->second, path.substr(length)};
    }
    return std::nullopt;
}

} // namespace gentiancross
