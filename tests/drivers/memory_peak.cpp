#include "tests/drivers/memory_peak.h"

#include <cstdlib>
#include <fstream>
#include <string>

#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace hibiscusspool {

namespace {

/** A value in KiB of this process's status, such as VmHWM. */
std::size_t
StatusKib(const std::string& aName)
{
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(aName + ":")) {
      return std::strtoull(line.c_str() + aName.size() + 1, nullptr, 10);
    }
  }
  return 0;
}

}

std::size_t
PeakGrowth(const std::function<void()>& aBody)
{
  int pipeEnds[2];
  CHECK(pipe(pipeEnds) == 0);
  pid_t child = fork();
  if (child == 0) {
    std::size_t before = StatusKib("VmRSS");
    aBody();
    std::size_t grown = StatusKib("VmHWM") - before;
    ssize_t written = write(pipeEnds[1], &grown, sizeof grown);
    _exit(written == sizeof grown ? 0 : 1);
  }
  close(pipeEnds[1]);
  std::size_t grown = 0;
  bool isRead = read(pipeEnds[0], &grown, sizeof grown) == sizeof grown;
  close(pipeEnds[0]);
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(isRead && status == 0);
  return grown << 10U;
}

}
