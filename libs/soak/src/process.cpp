#include "process.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cicada::soak
{

process::~process()
{
    if (this->pid != 0)
    {
        ::kill(this->pid, SIGKILL);
        ::kill(this->pid, SIGCONT);
        ::waitpid(this->pid, nullptr, 0);
    }
}

result<void> process::start(std::string const& program,
                            std::string const& settings,
                            std::string const& log)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions,
                                     STDOUT_FILENO,
                                     log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string name = program;
    std::string option = "--settings";
    std::string file = settings;
    char* arguments[] = {name.data(), option.data(), file.data(), nullptr};
    int const failed = ::posix_spawn(
        &this->pid, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        this->pid = 0;
        return error{error_code::unavailable,
                     program + ": " + std::strerror(failed)};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool process::is_running() const
{
    return this->pid != 0;
}

pid_t process::id() const
{
    return this->pid;
}

void process::signal(int number)
{
    if (this->pid != 0)
    {
        ::kill(this->pid, number);
    }
}

std::optional<process_end> process::reap()
{
    int status = 0;
    if (this->pid == 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
    {
        return std::nullopt;
    }
    this->pid = 0;
    if (WIFSIGNALED(status))
    {
        return process_end{-1, WTERMSIG(status)};
    }
    return process_end{WEXITSTATUS(status), 0};
}

} // namespace cicada::soak
