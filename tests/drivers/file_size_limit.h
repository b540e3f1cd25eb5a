#pragma once

#include <csignal>
#include <cstdint>

#include <sys/resource.h>

namespace hibiscusspool {

/** Limits the size of this process's files, to simulate a full disk. */
class file_size_limit
{
  rlimit mBefore{};
  sighandler_t mHandler;

public:
  explicit file_size_limit(std::uint64_t aBytes)
    : mHandler(std::signal(SIGXFSZ, SIG_IGN))
  {
    getrlimit(RLIMIT_FSIZE, &mBefore);
    rlimit limit{ aBytes, mBefore.rlim_max };
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~file_size_limit()
  {
    Lift();
    std::signal(SIGXFSZ, mHandler);
  }
  file_size_limit(const file_size_limit&) = delete;
  file_size_limit& operator=(const file_size_limit&) = delete;

  void Lift() const { setrlimit(RLIMIT_FSIZE, &mBefore); }
};

}
