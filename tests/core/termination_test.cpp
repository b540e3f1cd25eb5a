#include "core/termination.h"

#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

TEST_GROUP(termination){};

TEST(termination, AnExceptionThatEndsTheProcessIsNamed)
{
  int ends[2] = {};
  LONGS_EQUAL(0, pipe(ends));
  pid_t process = fork();
  if (process == 0) {
    rlimit noCore{ 0, 0 };
    setrlimit(RLIMIT_CORE, &noCore);
    dup2(ends[1], STDERR_FILENO);
    hibiscusspool::ReportTerminations();
    std::thread([] { throw std::runtime_error("the cause"); }).join();
    _exit(0);
  }
  close(ends[1]);
  std::string text;
  char buffer[256];
  for (ssize_t count = 0;
       (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
    text.append(buffer, static_cast<std::size_t>(count));
  }
  close(ends[0]);
  int status = 0;
  waitpid(process, &status, 0);
  CHECK(WIFSIGNALED(status));
  LONGS_EQUAL(SIGABRT, WTERMSIG(status));
  STRCMP_CONTAINS("event=terminated cause=\"the cause\"", text.c_str());
}
