#include "decisions/routing/service_set.h"

#include <set>
#include <string_view>

namespace hibiscusspool {

service_set
service_set::Create(const std::vector<service_id>& aNamed)
{
  service_set services;
  services.mServices.reserve(aNamed.size());
  std::set<std::string_view> known;
  for (const service_id& service : aNamed) {
    if (known.insert(service.mValue).second) {
      services.mServices.push_back(service);
    }
  }
  return services;
}

}
