#include "filters/filter_chain.h"

namespace hibiscusspool {

boost::asio::awaitable<void>
RunChain(const filter_chain& aChain, request_context& aRequest)
{
  for (const filter& step : aChain) {
    bool isOpen = !aRequest.mRefusal.has_value();
    if (isOpen || step.mCondition == filter_condition::Always) {
      co_await step.mRun(aRequest);
    }
  }
}

}
