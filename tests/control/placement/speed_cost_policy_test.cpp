#include "control/placement/speed_cost_policy.h"

#include "tests/control/placement/placement_cell.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <array>
#include <random>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::int64_t UsualMilliseconds = 600;
constexpr int Workers = 6;
constexpr std::int64_t WorkerCores = 4000;

std::string workerName(int number)
{
    return "w" + std::to_string(number);
}

/** Half of the workers run at 0.7 of the usual speed, half at 1.7. */
double mixedSpeed(const WorkerId &worker)
{
    return (worker.value().back() - '0') % 2 == 0 ? 0.7 : 1.7;
}

bool isFast(const WorkerId &worker)
{
    return mixedSpeed(worker) > 1;
}

using SpeedOf = double (*)(const WorkerId &);

PlacementCell::DurationOf durationAt(SpeedOf speedOf)
{
    return [speedOf](const JobTaskRef &, const PooledWorker &worker) {
        return Milliseconds(std::int64_t(double(UsualMilliseconds)
                                         / speedOf(worker.report.incarnation.worker)));
    };
}

/** A job that is on time if it ends \a allowance later than its estimates say. */
JobAccepted makeTimedJob(const std::string &id, std::vector<StepSpec> steps, std::int64_t allowance)
{
    for (StepSpec &step : steps) {
        step.image = "image";
        step.estimate = Milliseconds(UsualMilliseconds);
    }
    JobAccepted job = makeJob(id, std::move(steps));
    job.terms.allowance = Milliseconds(allowance);
    return job;
}

constexpr std::int64_t ShortAllowance = 150;
constexpr std::int64_t SpareAllowance = 10'000;

/** Keeps all workers busy until the speeds are learned, then lets them become idle. */
void learnSpeeds(PlacementCell &cell)
{
    for (int number = 0; number < Workers; ++number)
        cell.addWorker(workerName(number), WorkerCores);
    for (int round = 0; round < 10; ++round) {
        cell.submit(makeTimedJob(absl::StrCat("learn-", round),
                                 {makeStep(Workers * WorkerCores / 1000, 1000)}, SpareAllowance));
        cell.runUntil(cell.now() + Milliseconds(1000));
    }
    cell.runUntil(cell.now() + Milliseconds(1500));
}

std::unique_ptr<WorkerCostPolicy> makePolicy(bool usesSpeed)
{
    if (usesSpeed)
        return std::make_unique<SpeedCostPolicy>();
    return std::make_unique<PackingCostPolicy>();
}

/** The part of the jobs that need a fast worker and are on time, in a cell in half use: each half
 * second a job of two tasks arrives that is short of time, and three that have time. */
double onTimeRatio(bool usesSpeed)
{
    PlacementCell cell(makePolicy(usesSpeed), durationAt(&mixedSpeed));
    learnSpeeds(cell);
    constexpr int Rounds = 100;
    int onTime = 0;
    std::map<JobId, Instant> deadlines;
    for (int round = 0; round < Rounds; ++round) {
        for (int number = 0; number < 3; ++number)
            cell.submit(makeTimedJob(absl::StrCat("spare-", round, "-", number),
                                     {makeStep(2, 1000)}, SpareAllowance));
        const std::string id = absl::StrCat("short-", round);
        cell.submit(makeTimedJob(id, {makeStep(2, 1000)}, ShortAllowance));
        deadlines[JobId(id)] = cell.now() + Milliseconds(UsualMilliseconds + ShortAllowance);
        cell.runUntil(cell.now() + Milliseconds(500));
    }
    cell.runUntil(cell.now() + Milliseconds(30'000));
    for (const auto &[id, deadline] : deadlines)
        onTime += cell.ends().contains(id) && cell.ends().at(id) <= deadline ? 1 : 0;
    return double(onTime) / Rounds;
}

/** All starts of a random mix: steps of several sizes and urgencies, gangs, limits per worker and
 * data in racks. */
std::vector<PlacedStart> startsOfMix(bool usesSpeed, unsigned seed)
{
    const auto nearlyEqual = [](const WorkerId &worker) {
        return 0.96 + 0.02 * (worker.value().back() - '0') / 2;
    };
    PlacementCell cell(makePolicy(usesSpeed), durationAt(nearlyEqual));
    for (int number = 0; number < Workers; ++number)
        cell.addWorker(workerName(number), WorkerCores, "r" + std::to_string(number % 2));
    std::mt19937 random(seed);
    const auto pick = [&](unsigned below) { return unsigned(random() % below); };
    for (int number = 0; number < 300; ++number) {
        StepSpec step = makeStep(1 + pick(5), 500 * (1 + std::int64_t(pick(4))));
        step.isGang = pick(5) == 0;
        step.prefersOneRack = step.isGang;
        step.maxPerWorker = pick(3);
        step.dataRack = pick(3) == 0 ? "r1" : "";
        cell.submit(makeTimedJob(absl::StrCat("job-", number), {step, makeStep(1, 500, {0})},
                                 pick(2) == 0 ? ShortAllowance : SpareAllowance));
        cell.runUntil(cell.now() + Milliseconds(std::int64_t(pick(300))));
    }
    cell.runUntil(cell.now() + Milliseconds(60'000));
    return cell.starts();
}

} // namespace

// Guards against jobs that are late because their tasks run at 0.7 of the usual speed while workers
// at 1.7 run tasks that have time.
TEST_CASE("Jobs that are short of time end in time on workers of uneven speed")
{
    const double withSpeed = onTimeRatio(true);
    const double withoutSpeed = onTimeRatio(false);
    CAPTURE(withSpeed, withoutSpeed);
    CHECK(withSpeed >= 0.95);
    CHECK(withSpeed > withoutSpeed);
}

// Guards against changed decisions, and so worse packing, in cells of similar workers.
TEST_CASE("Workers of similar speed are chosen as by packing alone")
{
    const unsigned seed = GENERATE(range(1U, 11U));
    const std::vector<PlacedStart> packed = startsOfMix(false, seed);
    REQUIRE(packed.size() > 300);
    CHECK(startsOfMix(true, seed) == packed);
}

// Guards against capacity that is left free for tasks that don't exist, when all work has time.
TEST_CASE("No fast worker is idle while work waits, and none while only fast ones are free")
{
    PlacementCell cell(makePolicy(true), durationAt(&mixedSpeed));
    learnSpeeds(cell);
    const std::size_t before = cell.starts().size();
    constexpr std::size_t AllSlots = Workers * WorkerCores / 1000;
    constexpr std::size_t HalfOfSlots = AllSlots / 2;
    const std::int64_t allowance = GENERATE(ShortAllowance, SpareAllowance);
    cell.submit(makeTimedJob("half", {makeStep(HalfOfSlots, 1000)}, allowance));
    REQUIRE(cell.starts().size() == before + HalfOfSlots);
    for (std::size_t index = before; index < cell.starts().size(); ++index)
        CHECK(isFast(cell.starts()[index].worker) == (allowance == ShortAllowance));
    cell.submit(makeTimedJob("rest", {makeStep(AllSlots, 1000)}, allowance));
    CHECK(cell.starts().size() == before + AllSlots);
}

// Guards against tasks that wait behind a failing disk or a throttled processor: a worker at a
// fifth of the usual speed gets no task while another has room, not even one with time.
TEST_CASE("A few very slow workers are used only when no other has free capacity")
{
    const auto oneIsVerySlow
            = [](const WorkerId &worker) { return worker.value() == "w0" ? 0.2 : 1.0; };
    PlacementCell cell(makePolicy(true), durationAt(oneIsVerySlow));
    learnSpeeds(cell);
    cell.runUntil(cell.now() + Milliseconds(20'000));
    constexpr std::size_t Others = (Workers - 1) * WorkerCores / 1000;
    // The comparison is with the latest runs of all workers, so others end last.
    cell.submit(makeTimedJob("all", {makeStep(Others + WorkerCores / 1000, 1000)}, SpareAllowance));
    cell.runUntil(cell.now() + Milliseconds(2500));
    cell.submit(makeTimedJob("more", {makeStep(Others, 1000)}, SpareAllowance));
    cell.runUntil(cell.now() + Milliseconds(700));
    const std::size_t before = cell.starts().size();
    cell.submit(makeTimedJob("others", {makeStep(Others, 1000)}, SpareAllowance));
    for (std::size_t index = before; index < cell.starts().size(); ++index)
        CHECK(cell.starts()[index].worker != WorkerId("w0"));
    cell.submit(makeTimedJob("last", {makeStep(1, 1000)}, SpareAllowance));
    REQUIRE(cell.starts().size() == before + Others + 1);
    CHECK(cell.starts().back().worker == WorkerId("w0"));
}

// Guards against tickets for workers that the planner prefers least: the adviser's time is scarce.
TEST_CASE("The adviser is asked about workers in the order of preference")
{
    PlacementCell cell(makePolicy(true), durationAt(&mixedSpeed));
    learnSpeeds(cell);
    const std::int64_t allowance = GENERATE(ShortAllowance, SpareAllowance);
    JobAccepted job = makeTimedJob("asks", {makeStep(1, 1000)}, allowance);
    // Its time counts toward the objective, so it is negligible here.
    job.terms.advice = AdviceTerms{0, 0, Milliseconds(2000)};
    cell.submit(job);
    REQUIRE(cell.queries().size() == 1);
    const std::vector<WorkerId> &asked = cell.queries().front().workers;
    REQUIRE(asked.size() == Workers);
    for (int number = 0; number < Workers; ++number)
        CHECK(isFast(asked[std::size_t(number)])
              == ((number < Workers / 2) == (allowance == ShortAllowance)));
}
