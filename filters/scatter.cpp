#include "filters/scatter.h"

#include "filters/scatter_operation.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

filter
MakeScatter(backend_controller& aBackends,
            budget_controller& aBudgets,
            fingerprint_controller& aFingerprints,
            scatter_hooks aHooks)
{
  auto hooks = std::make_shared<const scatter_hooks>(std::move(aHooks));
  return { filter_name::Scatter,
           filter_condition::NotRefused,
           [&aBackends, &aBudgets, &aFingerprints, hooks](
             request_context& aRequest) -> asio::awaitable<void> {
             if (aRequest.mIsAnsweredByClaim) {
               co_return;
             }
             auto executor = co_await asio::this_coro::executor;
             auto operation = std::make_shared<scatter_operation>(
               aBackends, aBudgets, aFingerprints, *hooks, executor, aRequest);
             co_await operation->Run(aRequest);
           } };
}

}
