#pragma once

#include "core/ids.h"

#include <cstddef>
#include <vector>

namespace hibiscusspool {

/**
 * The services that a request is sent to, each once, in the order in which they
 * were first named. The lists of configurations and of other hosts may name a
 * service more than once.
 */
class service_set
{
  std::vector<service_id> mServices;

public:
  /** Leaves out what the list has named before. */
  static service_set Create(const std::vector<service_id>& aNamed);

  [[nodiscard]] const std::vector<service_id>& List() const
  {
    return mServices;
  }
  [[nodiscard]] bool IsEmpty() const { return mServices.empty(); }
  [[nodiscard]] std::size_t size() const { return mServices.size(); }
  [[nodiscard]] auto begin() const { return mServices.begin(); }
  [[nodiscard]] auto end() const { return mServices.end(); }

  bool operator==(const service_set&) const = default;
};

}
