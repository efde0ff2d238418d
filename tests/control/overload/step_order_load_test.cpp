#include "control/overload/team_shares.h"
#include "tests/control/overload/slot_server.h"

#include <catch2/catch.hpp>

#include <limits>
#include <random>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr Instant Start{100'000};
constexpr std::int64_t StepMs = 10;
constexpr Slots Capacity{40};

/** What a group of callers submits: a rate outside the burst and one inside it. */
struct Traffic
{
    SlotJob job;
    double jobsPerSecond = 0;
    double jobsPerSecondInBurst = 0;
    /** Due jobs that were not submitted yet. */
    double due = 0;
    std::minstd_rand random{};
};

/** Plays 20 s of traffic with a burst from second 4 to second 10, and then serves what waits. The
 * estimates are off by up to 0.9. Groups are teams of \a shares. */
void play(SlotServer &server, std::vector<Traffic> traffic, std::uint32_t seed,
          TeamShares shares = {})
{
    for (Traffic &each : traffic)
        each.random.seed(seed++);
    for (std::int64_t at = 0; at < 20'000 || !server.isIdle(); at += StepMs) {
        const bool isBurst = at >= 4000 && at < 10'000;
        for (Traffic &each : traffic) {
            if (at < 20'000)
                each.due += (isBurst ? each.jobsPerSecondInBurst : each.jobsPerSecond) * StepMs
                        / 1000;
            for (; each.due >= 1; each.due -= 1) {
                SlotJob job = each.job;
                const Instant now = Start + Milliseconds(at);
                const auto drawPermille = [&each](std::int64_t from, std::int64_t to) {
                    return std::uniform_int_distribution<std::int64_t>(from, to)(each.random);
                };
                job.work = job.estimate * drawPermille(500, 1500) / 1000;
                job.estimate = job.work * drawPermille(100, 1900) / 1000;
                job.standing = shares.recordArrival(now, TeamId(job.group));
                server.submit(now, job);
            }
        }
        server.serve(Start + Milliseconds(at));
    }
}

/** The alternatives to `DeadlineStepOrder`: priority before all else, or lateness before priority.
 */
class RankedByOneField final : public StepOrder
{
public:
    explicit RankedByOneField(bool usesPriority)
        : m_usesPriority(usesPriority)
    {}

    [[nodiscard]] ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                 const Job &job, const StepTiming &timing) const override
    {
        constexpr std::int64_t Factor = 10;
        ReadyStep ready = m_order.rank(now, step, reason, job, timing);
        const auto lateness = static_cast<std::int64_t>(ready.lateness);
        ready.priority = m_usesPriority ? job.terms.priority * Factor + lateness
                                        : lateness * Factor + job.terms.priority;
        // The queue ranks a step again once its latest start has passed, but not an expired one.
        if (ready.lateness == Lateness::Expired)
            ready.latestStart = Instant(std::numeric_limits<std::int64_t>::max());
        // All have one lateness, so that it does not count again.
        ready.lateness = Lateness::OnTime;
        return ready;
    }

private:
    DeadlineStepOrder m_order;
    bool m_usesPriority;
};

} // namespace

// Guards against expired work of an urgent queue that takes the capacity from work of other queues
// that can still be on time.
TEST_CASE("After a burst of an urgent queue, its expired work delays no other queue, and all runs")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U);
    const std::vector<Traffic> traffic = {{{"urgent", 0, Milliseconds(1000), {}}, 12, 120},
                                          {{"other", 2, Milliseconds(1000), {}}, 12, 12}};
    SlotServer before(std::make_unique<RankedByOneField>(true), Capacity);
    SlotServer after(std::make_unique<DeadlineStepOrder>(), Capacity);
    play(before, traffic, seed);
    play(after, traffic, seed);
    CAPTURE(seed, before.outcomeOf("other").onTime, after.outcomeOf("other").onTime,
            after.outcomeOf("other").late, after.outcomeOf("urgent").expired);
    CHECK(after.outcomeOf("urgent").jobs() == before.outcomeOf("urgent").jobs());
    CHECK(after.outcomeOf("urgent").expired > 0);
    CHECK(after.outcomeOf("other").worth() > before.outcomeOf("other").worth());
    CHECK(after.outcomeOf("urgent").worth() >= before.outcomeOf("urgent").worth());
}

// Records the decision that late work of an urgent queue goes before on-time work of a less urgent
// one. Guards against an urgent queue that earns less because of work that can wait, such as jobs
// of 20 s with as much slack.
TEST_CASE("An urgent queue earns no less than if lateness took precedence over priority")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U);
    const bool isBatch = GENERATE(false, true);
    const Milliseconds length(isBatch ? 20'000 : 1000);
    const std::vector<Traffic> traffic
            = {{{"urgent", 0, Milliseconds(1000), {}}, 12, 120},
               {{"other", 2, length, {}}, isBatch ? 0.6 : 12, isBatch ? 6.0 : 12.0}};
    SlotServer priorityFirst(std::make_unique<DeadlineStepOrder>(), Capacity);
    SlotServer latenessFirst(std::make_unique<RankedByOneField>(false), Capacity);
    play(priorityFirst, traffic, seed);
    play(latenessFirst, traffic, seed);
    CAPTURE(seed, isBatch, priorityFirst.outcomeOf("other").worth(),
            latenessFirst.outcomeOf("other").worth());
    CHECK(priorityFirst.outcomeOf("urgent").worth() >= latenessFirst.outcomeOf("urgent").worth());
}

// Guards against a team that takes the other teams' time by sending more than its weight.
TEST_CASE("A team that sends five times its usual load delays no other team's work")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U);
    constexpr std::int64_t Weight = 8;
    ConfigDocument document;
    std::vector<Traffic> calm;
    for (const char *team : {"alpha", "beta", "gamma", "delta"}) {
        document.teams.push_back({TeamId(team), {}, Weight, {}});
        calm.push_back({{team, 0, Milliseconds(1000), {}}, Weight, Weight});
    }
    std::vector<Traffic> burst = calm;
    burst[0].jobsPerSecondInBurst = Weight * 5;
    TeamShares shares;
    shares.update(Start, document);
    SlotServer expected(std::make_unique<DeadlineStepOrder>(), Capacity);
    SlotServer seen(std::make_unique<DeadlineStepOrder>(), Capacity);
    play(expected, calm, seed, shares);
    play(seen, burst, seed, shares);
    for (const char *team : {"beta", "gamma", "delta"}) {
        CAPTURE(seed, team, expected.outcomeOf(team).onTime, seen.outcomeOf(team).onTime);
        CHECK(seen.outcomeOf(team).onTime >= expected.outcomeOf(team).onTime);
    }
    CHECK(seen.outcomeOf("alpha").jobs() > expected.outcomeOf("alpha").jobs());
}
