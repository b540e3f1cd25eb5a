#pragma once

#include <csignal>
#include <functional>
#include <string>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace test {

/** What a child process wrote to standard output and standard error, and how it
 * ended. */
struct ended_process
{
  std::string mText;
  int mStatus = 0;
};

/** Runs a function in a child process until that ends. */
inline ended_process
RunUntilEnd(const std::function<void()>& aBody)
{
  ended_process ended;
  int ends[2] = {};
  if (pipe(ends) != 0) {
    return ended;
  }
  pid_t process = fork();
  if (process == 0) {
    rlimit noCore{ 0, 0 };
    setrlimit(RLIMIT_CORE, &noCore);
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    aBody();
    _exit(0);
  }
  close(ends[1]);
  char buffer[256];
  for (ssize_t count = 0;
       (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    ended.mText.append(buffer, static_cast<std::size_t>(count));
  }
  close(ends[0]);
  waitpid(process, &ended.mStatus, 0);
  return ended;
}

}
