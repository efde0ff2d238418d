#include "control/placement/speed_learner.h"

#include "control/jobs/worker_pool.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <random>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr int Workers = 12;
constexpr double UsualMilliseconds = 640;

std::string nameOf(int worker)
{
    return "w" + std::to_string(worker);
}

/** Workers whose runs end in random order; each run takes 0.64 s, and three in a hundred take seven
 * times as long. */
class MeasuredWorkers
{
public:
    explicit MeasuredWorkers(unsigned seed)
        : m_random(seed)
    {
        for (int number = 0; number < Workers; ++number) {
            WorkerReport report;
            report.incarnation = makeIncarnation(nameOf(number));
            m_pool.addOrUpdate(m_now, report);
        }
    }

    /** Ends \a runs on each worker each second, of jobs whose estimates are off by up to 0.9. */
    template <typename SpeedOf>
    void run(int seconds, int runs, SpeedOf speedOf)
    {
        for (int second = 0; second < seconds; ++second) {
            m_now = m_now + Milliseconds(1000);
            for (int number = 0; number < Workers * runs; ++number) {
                const int worker = number % Workers;
                StepSpec step = makeStep(1, 100);
                step.image = image(worker);
                step.estimate
                        = Milliseconds(std::llround(UsualMilliseconds * (1 + uniform(-0.9, 0.9))));
                double taken = UsualMilliseconds / speedOf(worker) * uniform(0.8, 1.25);
                if (uniform(0, 1) < 0.03)
                    taken *= 7;
                add(worker, step, Milliseconds(std::llround(taken)));
            }
            m_learner.tick(m_now, m_pool, m_out);
            m_out.take();
        }
    }

    std::optional<double> add(int worker, const StepSpec &step, Milliseconds taken)
    {
        return m_learner.addRun(m_now, find(worker), {JobId("a"), 0, 0}, step, taken);
    }
    [[nodiscard]] SpeedClass classOf(int worker) { return find(worker).speed.speedClass(); }
    [[nodiscard]] int countOf(SpeedClass speed)
    {
        int count = 0;
        for (int worker = 0; worker < Workers; ++worker)
            count += classOf(worker) == speed ? 1 : 0;
        return count;
    }
    PooledWorker &find(int worker) { return *m_pool.find(makeIncarnation(nameOf(worker))); }

    /** The image that the worker runs. */
    std::function<std::string(int)> image = [](int) { return "image"; };

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }

    std::mt19937 m_random;
    Instant m_now{100'000};
    WorkerPool m_pool{Instant()};
    SpeedLearner m_learner;
    Outbox m_out{false};
};

/** One worker in three runs at 0.7 of the usual speed, another at 1.7. */
double mixedSpeed(int worker)
{
    constexpr std::array<double, 3> Speeds{0.7, 1.0, 1.7};
    return Speeds.at(std::size_t(worker % 3));
}

SpeedClass mixedClass(int worker)
{
    constexpr std::array<SpeedClass, 3> Classes{SpeedClass::Slow, SpeedClass::Usual,
                                                SpeedClass::Fast};
    return Classes.at(std::size_t(worker % 3));
}

double usualSpeed(int)
{
    return 1;
}

} // namespace

// Guards against tasks on slow workers that miss their time although fast workers are known, in a
// cell whose workers run at 0.7, 1 and 1.7 of the usual speed.
TEST_CASE("Speeds of 0.7 and 1.7 are learned despite wrong estimates and long tasks")
{
    MeasuredWorkers workers(GENERATE(range(1U, 11U)));
    workers.run(20, 4, mixedSpeed);
    for (int worker = 0; worker < Workers; ++worker)
        CHECK(workers.classOf(worker) == mixedClass(worker));
}

// Guards against slow workers that are forgotten once they only run images of their own, as
// placement by speed brings about.
TEST_CASE("Speeds stay learned while each speed runs images of its own")
{
    MeasuredWorkers workers(1);
    workers.run(20, 4, mixedSpeed);
    workers.image = [](int worker) { return "image-" + std::to_string(worker % 3); };
    workers.run(120, 4, mixedSpeed);
    for (int worker = 0; worker < Workers; ++worker)
        CHECK(workers.classOf(worker) == mixedClass(worker));
}

// Guards against worse packing in cells of equal workers, where differences are chance.
TEST_CASE("Workers of equal speed are usual")
{
    MeasuredWorkers workers(GENERATE(range(1U, 11U)));
    for (int second = 0; second < 60; ++second) {
        workers.run(1, 4, usualSpeed);
        REQUIRE(workers.countOf(SpeedClass::Usual) == Workers);
    }
}

// Guards against a worker that is avoided long after it was slow for a few seconds.
TEST_CASE("A few slow seconds do not make a worker slow, a lasting change does")
{
    MeasuredWorkers workers(1);
    workers.run(15, 4, usualSpeed);
    const auto firstIsSlow = [](int worker) { return worker == 0 ? 0.5 : 1.0; };
    workers.run(4, 4, firstIsSlow);
    CHECK(workers.classOf(0) == SpeedClass::Usual);
    workers.run(15, 4, usualSpeed);
    CHECK(workers.classOf(0) == SpeedClass::Usual);
    workers.run(15, 4, firstIsSlow);
    CHECK(workers.classOf(0) == SpeedClass::Slow);
    workers.run(15, 4, usualSpeed);
    CHECK(workers.classOf(0) == SpeedClass::Usual);
}

// Guards against a belief that outlives its evidence: a worker without runs is tried again.
TEST_CASE("Old runs are forgotten")
{
    MeasuredWorkers workers(1);
    workers.run(15, 4, mixedSpeed);
    REQUIRE(workers.classOf(0) == SpeedClass::Slow);
    workers.run(62, 0, mixedSpeed);
    CHECK(workers.countOf(SpeedClass::Usual) == Workers);
}

// Guards against a worker whose own runs are what it is compared with.
TEST_CASE("Runs of a single worker say nothing about its speed")
{
    MeasuredWorkers workers(1);
    workers.image = [](int worker) { return "image-" + std::to_string(worker); };
    workers.run(30, 4, mixedSpeed);
    CHECK(workers.countOf(SpeedClass::Usual) == Workers);
}

// Guards against reports that no worker can have sent.
TEST_CASE("Durations that can't be right change nothing")
{
    MeasuredWorkers workers(1);
    workers.run(15, 4, usualSpeed);
    StepSpec step = makeStep(1, 100);
    step.image = "image";
    constexpr std::int64_t Huge = std::numeric_limits<std::int64_t>::max();
    for (int number = 0; number < 1000; ++number) {
        for (const std::int64_t taken : {std::int64_t(0), std::int64_t(-5), -Huge, Huge})
            CHECK_FALSE(workers.add(0, step, Milliseconds(taken)).has_value());
    }
    workers.run(1, 4, usualSpeed);
    CHECK(workers.countOf(SpeedClass::Usual) == Workers);
}

// Guards against memory that grows with the number of jobs and images.
TEST_CASE("The number of kinds of runs is limited, and kinds in use are kept")
{
    SimilarRuns similar;
    StepSpec used = makeStep(1, 100);
    used.image = "used";
    for (int number = 0; number < 5000; ++number) {
        const Instant now(number);
        const StepRef ref{JobId(std::to_string(number)), 0, 0};
        StepSpec step = makeStep(1, 100);
        step.image = number % 2 == 0 ? "" : "image-" + std::to_string(number);
        similar.add(now, ref, step, WorkerId("w0"), Milliseconds(100), 0);
        similar.add(now, ref, used, WorkerId(nameOf(number % 2)), Milliseconds(100), 0);
        REQUIRE(similar.size() <= SimilarRuns::MaxKinds);
    }
    CHECK(similar.slownessOf({}, used, Milliseconds(100)) == Approx(0).margin(0.01));
}
