#pragma once

#include <cstddef>
#include <string>

namespace gentiancross::tests::jobbodies {

/** The largest body and the largest payload of a job that the platform allows, in bytes. */
inline constexpr std::size_t MaxBodyBytes = 262'144;
inline constexpr std::size_t MaxPayloadBytes = 4000;

/** A job with the largest payload and as many steps of ordinary fields as the largest body holds.
 * All functions here are reentrant. */
std::string ordinarySteps();
/** A job of 20,000 steps, the most that run, of one task each. */
std::string smallestSteps();
/** A job of the largest body whose steps are empty objects: more steps than run. */
std::string emptySteps();
/** A job of 18,000 tasks in a body of 14 KB. */
std::string manyTasks();
/** A job of the largest body that consists of one label. */
std::string longLabel();
/** A job of one task. */
std::string oneTask();

/** \a prefix, then \a element as often as it fits into \a bytes, separated by commas, then \a
 * suffix. */
std::string fill(const std::string &prefix, const std::string &element, const std::string &suffix,
                 std::size_t bytes);

} // namespace gentiancross::tests::jobbodies
