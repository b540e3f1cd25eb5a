#include "filters/confirm.h"

namespace hibiscusspool {

namespace {

constexpr milliseconds kRetryAfter{ 500 };

}

filter
MakeConfirm(confirm_hooks aHooks)
{
  return { filter_name::Confirm,
           filter_condition::NotRefused,
           [hooks = std::move(aHooks)](
             request_context& aRequest) -> boost::asio::awaitable<void> {
             if (!hooks.mIsLeaseValid(hooks.mNow())) {
               aRequest.Refuse(
                 refusal_reason::NotConfirmed,
                 "This host can't reach the control hosts; ask another.",
                 kRetryAfter);
             }
             co_return;
           } };
}

}
