#include "control/ledger.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Covers today and yesterday in every time zone. */
constexpr std::uint64_t MaxHalfHours = 2 * HalfHoursPerDay;
/** Shorter waits are not listed with their cause. */
constexpr Milliseconds MinLongWait{1'000};

std::uint64_t minuteBit(Milliseconds wall)
{
    const auto minute = static_cast<std::uint64_t>((wall / MinuteLength.value()).value());
    return std::uint64_t{1} << (minute % MinutesPerHalfHour);
}

} // namespace

WorkClass classOf(const RequestFacts &facts)
{
    return {facts.team, facts.spec.kind, facts.spec.urgent};
}

void Ledger::apply(const DataCentreRecord &record, const Requests &requests)
{
    std::visit([&](const auto &typed) { applyTyped(typed, requests); }, record);
}

void Ledger::restorePage(const LedgerPageRecorded &recorded)
{
    m_pages.insert_or_assign(recorded.halfHour, recorded.page);
    for (std::uint64_t minute = 0; minute < MinutesPerHalfHour; ++minute) {
        const bool isMarked = (recorded.page.minutes >> minute & 1) != 0;
        const Milliseconds wall
                = beginOf(recorded.halfHour) + MinuteLength * static_cast<std::int64_t>(minute);
        if (isMarked)
            m_lastMark = std::max(m_lastMark, wall);
    }
}

void Ledger::applyTyped(const RequestAccepted &record, const Requests &)
{
    const WorkClass work{record.team, record.spec.kind, record.spec.urgent};
    ++m_pages[halfHourOf(record.acceptedAtWall)].cells[work].accepted;
}

void Ledger::applyTyped(const TaskStarting &record, const Requests &requests)
{
    const auto found = requests.find(record.request);
    if (found == requests.end() || found->second.hasStarted)
        return;
    const RequestFacts &facts = found->second;
    LedgerPage *page = pageOf(facts);
    if (page == nullptr)
        return;
    ++page->cells[classOf(facts)].started;
    countWait(*page, record.request, facts, {record.startedAtWall, record.waitedFor});
}

void Ledger::applyTyped(const RequestEnded &record, const Requests &requests)
{
    const auto found = requests.find(record.request);
    if (found == requests.end() || found->second.outcome != Outcome::Pending)
        return;
    const RequestFacts &facts = found->second;
    LedgerPage *page = pageOf(facts);
    if (page == nullptr)
        return;
    LedgerCell &cell = page->cells[classOf(facts)];
    ++cell.ended[record.outcome];
    if (facts.hasStarted)
        return;
    ++cell.neverStarted;
    countWait(*page, record.request, facts, {record.endedAtWall, WaitCause::NeverStarted});
}

LedgerPage *Ledger::pageOf(const RequestFacts &facts)
{
    // An expired page must not be created again with only part of its counts.
    const auto found = m_pages.find(halfHourOf(facts.acceptedAtWall));
    return found == m_pages.end() ? nullptr : &found->second;
}

void Ledger::countWait(LedgerPage &page, const RequestId &request, const RequestFacts &facts,
                       const EndOfWait &end)
{
    const Milliseconds waited = std::max(end.wall - facts.acceptedAtWall, Milliseconds(0));
    ++page.cells[classOf(facts)].waits[waitBucketOf(waited)];
    if (waited >= MinLongWait)
        addLongWait(page.facts.longest,
                    {request, classOf(facts), facts.acceptedAtWall, waited, end.cause});
}

void Ledger::applyTyped(const MinuteRecorded &record, const Requests &)
{
    LedgerPage &page = m_pages[halfHourOf(record.wall)];
    page.minutes |= minuteBit(record.wall);
    add(page.facts, record.seen);
    m_lastMark = record.wall;
    dropOld();
}

void Ledger::dropOld()
{
    const std::uint64_t newest = halfHourOf(m_lastMark).value();
    if (newest > MaxHalfHours)
        m_pages.erase(m_pages.begin(), m_pages.lower_bound(HalfHour(newest - MaxHalfHours)));
}

DataCentreDay Ledger::describeDay(HalfHour first) const
{
    DataCentreDay day;
    day.first = first;
    const auto end = m_pages.lower_bound(HalfHour(first.value() + HalfHoursPerDay));
    for (auto entry = m_pages.lower_bound(first); entry != end; ++entry) {
        const auto &[halfHour, page] = *entry;
        day.minutes[halfHour] = page.minutes;
        for (const auto &[work, cell] : page.cells) {
            add(day.byClass[work], cell);
            add(day.byTime[halfHour][work.kind], cell);
        }
        add(day.facts, page.facts);
    }
    return day;
}

} // namespace gentiancross
