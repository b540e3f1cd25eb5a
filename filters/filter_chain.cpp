#include "filters/filter_chain.h"

namespace hibiscusspool {

boost::asio::awaitable<void>
RunChain(const filter_chain& aChain, request_context& aRequest)
{
  for (const filter& current : aChain) {
    bool isNotRefused = !aRequest.mRefusal.has_value();
    if (isNotRefused || current.mCondition == filter_condition::Always) {
      co_await current.mHook(aRequest);
    }
  }
}

}
