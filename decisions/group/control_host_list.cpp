#include "decisions/group/control_host_list.h"

#include <algorithm>
#include <iterator>

namespace hibiscusspool {

control_host_list
control_host_list::Create(std::set<host_id> aConfigured)
{
  control_host_list list;
  list.mOrder.assign(aConfigured.begin(), aConfigured.end());
  list.mConfigured = std::move(aConfigured);
  return list;
}

bool
control_host_list::Learn(const host_id& aHost)
{
  if (aHost.IsEmpty()) {
    return false;
  }
  auto known = std::find(mOrder.begin(), mOrder.end(), aHost);
  if (known != mOrder.end()) {
    std::rotate(mOrder.begin(), known, std::next(known));
    return false;
  }
  if (mOrder.size() >= kMaxHosts) {
    auto last =
      std::find_if(mOrder.rbegin(), mOrder.rend(), [&](const host_id& aKnown) {
        return !mConfigured.contains(aKnown);
      });
    if (last == mOrder.rend()) {
      return false;
    }
    mOrder.erase(std::prev(last.base()));
  }
  mOrder.insert(mOrder.begin(), aHost);
  return true;
}

bool
control_host_list::Contains(const host_id& aHost) const
{
  return std::find(mOrder.begin(), mOrder.end(), aHost) != mOrder.end();
}

host_id
control_host_list::At(std::size_t aTry) const
{
  if (mOrder.empty()) {
    return {};
  }
  return mOrder[aTry % mOrder.size()];
}

std::vector<host_id>
control_host_list::Hosts() const
{
  std::vector<host_id> hosts = mOrder;
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

}
