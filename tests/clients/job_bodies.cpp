#include "tests/clients/job_bodies.h"

namespace gentiancross::tests::jobbodies {

namespace {

constexpr std::size_t MaxSteps = 20'000;
constexpr char StepsEnd[] = "]}";

std::string repeatSteps(const std::string &step, std::size_t count)
{
    std::string body = R"({"spec":"x","steps":[)" + step;
    for (std::size_t number = 1; number < count; ++number)
        body += ',' + step;
    return body + StepsEnd;
}

} // namespace

std::string fill(const std::string &prefix, const std::string &element, const std::string &suffix,
                 std::size_t bytes)
{
    std::string text = prefix + element;
    while (text.size() + 1 + element.size() + suffix.size() <= bytes)
        text += ',' + element;
    return text + suffix;
}

std::string ordinarySteps()
{
    const std::string payload(MaxPayloadBytes, 'p');
    return fill(R"({"spec":")" + payload + R"(","steps":[)",
                R"({"count":4,"cpu":500,"mem_mb":256,"est_ms":900,"data_rack":"r1-3"})", StepsEnd,
                MaxBodyBytes);
}

std::string smallestSteps()
{
    return repeatSteps(R"({"count":1})", MaxSteps);
}

std::string emptySteps()
{
    return fill(R"({"spec":"x","steps":[)", "{}", StepsEnd, MaxBodyBytes);
}

std::string manyTasks()
{
    constexpr std::size_t Steps = 60;
    return repeatSteps(R"({"count":300,"cpu":500,"mem_mb":256,"est_ms":900,"image":")"
                               + std::string(100, 'i')
                               + R"(","required_label":"a","target_ms":250})",
                       Steps);
}

std::string longLabel()
{
    const std::string before = R"({"spec":"x","steps":[{"count":1,"required_label":")";
    const std::string after = std::string("\"}") + StepsEnd;
    return before + std::string(MaxBodyBytes - before.size() - after.size(), 'l') + after;
}

std::string oneTask()
{
    return repeatSteps(R"({"count":1,"cpu":500,"mem_mb":256,"est_ms":900})", 1);
}

} // namespace gentiancross::tests::jobbodies
