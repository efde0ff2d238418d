#include "servers/journal_writer.h"

namespace gentiancross {

JournalWriter::JournalWriter(JournalFile &file, EventSink &events, Metrics &metrics,
                             std::function<void(const absl::Status &)> failed)
    : m_file(file)
    , m_events(events)
    , m_metrics(metrics)
    , m_failed(std::move(failed))
{}

JournalWriter::~JournalWriter()
{
    stop();
}

void JournalWriter::start()
{
    activate();
}

void JournalWriter::stop()
{
    m_queue.close();
    wait();
}

void JournalWriter::carryOut(Effect effect)
{
    m_queue.put(std::get<Persist>(std::move(effect)));
}

int JournalWriter::svc()
{
    for (std::vector<Persist> batch = m_queue.takeAll(); !batch.empty();
         batch = m_queue.takeAll()) {
        absl::Status status = write(batch);
        if (!status.ok()) {
            m_failed(status);
            return 0;
        }
        std::uint64_t records = 0;
        for (const Persist &persist : batch)
            records += persist.records.size();
        m_metrics.recordJournalSync(records);
        m_events.post(Synced{batch.back().token});
    }
    return 0;
}

absl::Status JournalWriter::write(const std::vector<Persist> &batch)
{
    for (const Persist &persist : batch) {
        absl::Status status = persist.replaceAll ? m_file.replaceAll(persist.records)
                                                 : m_file.append(persist.records);
        if (!status.ok())
            return status;
    }
    return m_file.sync();
}

} // namespace gentiancross
