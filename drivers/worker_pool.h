#pragma once

#include "core/worker_number.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace hibiscusspool {

/**
 * Threads that each run a context of their own. A caller's connection stays
 * with one of them, so that its requests wake no other thread.
 */
class worker_pool
{
  struct worker
  {
    boost::asio::io_context mContext{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      mWork{ mContext.get_executor() };
    std::thread mThread;
  };

  std::vector<std::unique_ptr<worker>> mWorkers;
  std::atomic<std::size_t> mNext{ 0 };

  worker_pool() = default;

public:
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;
  ~worker_pool();

  static std::unique_ptr<worker_pool> Create(std::size_t aWorkers);

  /** The contexts by turns. */
  boost::asio::io_context& NextContext();
  /** Ends the threads; what is under way is given up. */
  void Stop();
};

}
