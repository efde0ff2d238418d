#include "tests/runner/spawn.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace gentiancross::tests {

pid_t spawn(const std::vector<std::string> &words, const std::string &log)
{
    std::vector<char *> raw;
    raw.reserve(words.size() + 1);
    for (const std::string &word : words)
        raw.push_back(const_cast<char *>(word.c_str()));
    raw.push_back(nullptr);
    const pid_t process = ::fork();
    if (process != 0)
        return process;
    // The kernel kills the child when the runner ends, however that happens.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(raw[0], raw.data());
    ::_exit(127);
}

} // namespace gentiancross::tests
