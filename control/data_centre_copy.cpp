#include "control/data_centre_copy.h"

#include "core/record_size.h"

#include <utility>

namespace gentiancross {

std::size_t DataCentreCopy::recordCount() const
{
    return m_requests.size() + m_ledger.pages().size();
}

const RequestFacts *DataCentreCopy::find(const RequestId &request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

void DataCentreCopy::apply(const DataCentreRecord &record)
{
    // Only new records are counted here: a state rebuilt from pieces brings its ledger along.
    m_ledger.apply(record, m_requests);
    std::visit([this](const auto &typed) { applyTyped(typed); }, record);
    m_lastSequence = m_lastSequence.next();
}

bool DataCentreCopy::installPiece(const CopyPiece &piece)
{
    if (piece.index == 0)
        m_staged = {piece.epoch, piece.sequence, 0, {}};
    const bool follows = piece.index == m_staged.pieces && piece.epoch == m_staged.epoch
            && piece.sequence == m_staged.sequence;
    if (!follows)
        return false;
    ++m_staged.pieces;
    m_staged.records.insert(m_staged.records.end(), piece.records.begin(), piece.records.end());
    if (!piece.isLast)
        return true;
    const Staged staged = std::exchange(m_staged, Staged());
    m_requests.clear();
    m_ledger = Ledger();
    for (const DataCentreRecord &record : staged.records)
        std::visit([this](const auto &typed) { applyTyped(typed); }, record);
    m_epoch = staged.epoch;
    m_lastSequence = staged.sequence;
    m_isComplete = true;
    return true;
}

void DataCentreCopy::beginEpoch(Epoch epoch)
{
    m_epoch = epoch;
    m_isComplete = true;
}

std::vector<CopyPiece> DataCentreCopy::snapshot(const DataCentreId &dataCentre) const
{
    std::vector<CopyPiece> pieces;
    pieces.push_back({dataCentre, m_epoch, m_lastSequence, 0, true, {}});
    std::size_t size = 0;
    for (DataCentreRecord &record : minimalRecords()) {
        const std::size_t bytes = encodedBytes(record);
        if (size > 0 && size + bytes > MaxRecordBatchBytes) {
            pieces.back().isLast = false;
            const auto index = static_cast<std::uint32_t>(pieces.size());
            pieces.push_back({dataCentre, m_epoch, m_lastSequence, index, true, {}});
            size = 0;
        }
        size += bytes;
        pieces.back().records.push_back(std::move(record));
    }
    return pieces;
}

std::vector<DataCentreRecord> DataCentreCopy::minimalRecords() const
{
    std::vector<DataCentreRecord> records;
    for (const auto &[halfHour, page] : m_ledger.pages())
        records.emplace_back(LedgerPageRecorded{halfHour, page});
    for (const auto &[name, request] : m_requests) {
        records.emplace_back(
                RequestAccepted{name, request.team, request.spec, request.acceptedAtWall});
        for (std::uint32_t index = 0; index < request.tasks.size(); ++index) {
            const TaskFacts &task = request.tasks[index];
            if (task.attempt == 0)
                continue;
            records.emplace_back(TaskStarting{name, index, task.attempt, task.worker, {}, {}});
            if (task.worker.isEmpty())
                records.emplace_back(
                        TaskEnded{name, index, task.attempt, task.everRan, task.succeeded});
        }
        if (request.outcome != Outcome::Pending)
            records.emplace_back(RequestEnded{name, request.outcome, request.reason, request.answer,
                                              request.endedAtWall});
    }
    return records;
}

TaskFacts *DataCentreCopy::findTask(const RequestId &request, std::uint32_t task)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || task >= found->second.tasks.size())
        return nullptr;
    return &found->second.tasks[task];
}

void DataCentreCopy::applyTyped(const RequestAccepted &record)
{
    if (record.spec.taskCount > MaxTasksPerRequest)
        return;
    RequestFacts facts;
    facts.team = record.team;
    facts.spec = record.spec;
    facts.acceptedAtWall = record.acceptedAtWall;
    facts.tasks.resize(record.spec.taskCount);
    m_requests.insert_or_assign(record.request, std::move(facts));
}

void DataCentreCopy::applyTyped(const TaskStarting &record)
{
    TaskFacts *task = findTask(record.request, record.task);
    if (task == nullptr)
        return;
    m_requests.at(record.request).hasStarted = true;
    task->attempt = record.attempt;
    task->worker = record.worker;
    task->ended = false;
}

void DataCentreCopy::applyTyped(const TaskEnded &record)
{
    TaskFacts *task = findTask(record.request, record.task);
    if (task == nullptr || task->attempt != record.attempt)
        return;
    task->worker = WorkerId();
    task->everRan = task->everRan || record.ran;
    task->succeeded = record.succeeded;
    task->ended = record.ran && record.succeeded;
}

void DataCentreCopy::applyTyped(const RequestEnded &record)
{
    const auto found = m_requests.find(record.request);
    if (found == m_requests.end())
        return;
    found->second.outcome = record.outcome;
    found->second.reason = record.reason;
    found->second.answer = record.answer;
    found->second.endedAtWall = record.endedAtWall;
}

void DataCentreCopy::applyTyped(const RequestForgotten &record)
{
    m_requests.erase(record.request);
}

void DataCentreCopy::applyTyped(const MinuteRecorded &)
{}

void DataCentreCopy::applyTyped(const LedgerPageRecorded &record)
{
    m_ledger.restorePage(record);
}

DataCentreDay DataCentreCopy::describeDay(const DataCentreId &dataCentre, HalfHour first,
                                          Milliseconds wall) const
{
    DataCentreDay day = m_ledger.describeDay(first);
    day.dataCentre = dataCentre;
    const HalfHour end(first.value() + HalfHoursPerDay);
    for (const auto &[name, request] : m_requests) {
        const HalfHour accepted = halfHourOf(request.acceptedAtWall);
        if (request.outcome != Outcome::Pending || accepted < first || accepted >= end)
            continue;
        OpenRequests &open = day.open[classOf(request)];
        ++open.count;
        if (request.hasStarted)
            continue;
        ++open.notStarted;
        ++open.waits[waitBucketOf(wall - request.acceptedAtWall)];
    }
    return day;
}

} // namespace gentiancross
