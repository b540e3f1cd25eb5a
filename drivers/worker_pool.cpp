#include "drivers/worker_pool.h"

#include "core/background_task.h"

namespace hibiscusspool {

std::unique_ptr<worker_pool>
worker_pool::Create(std::size_t aWorkers)
{
  std::unique_ptr<worker_pool> pool(new worker_pool);
  for (std::size_t number = 0; number < aWorkers; ++number) {
    pool->mWorkers.push_back(std::make_unique<worker>());
    worker& made = *pool->mWorkers.back();
    made.mThread = std::thread([&made, number] {
      SetCurrentWorker(static_cast<worker_number>(number + 1));
      RunHandlers(made.mContext);
    });
  }
  return pool;
}

worker_pool::~worker_pool()
{
  Stop();
}

boost::asio::io_context&
worker_pool::NextContext()
{
  return mWorkers[mNext++ % mWorkers.size()]->mContext;
}

void
worker_pool::Stop()
{
  for (auto& entry : mWorkers) {
    entry->mContext.stop();
  }
  for (auto& entry : mWorkers) {
    if (entry->mThread.joinable()) {
      entry->mThread.join();
    }
  }
}

}
