#include "drivers/metrics_text.h"

namespace hibiscusspool {

void
WriteMetricHeader(std::ostringstream& aPage,
                  metric_type aType,
                  std::string_view aName,
                  std::string_view aHelp)
{
  aPage << "# HELP hibiscusspool_" << aName << ' ' << aHelp
        << "\n# TYPE hibiscusspool_" << aName << ' ' << NameOf(aType) << '\n';
}

void
WriteTaskFailures(std::ostringstream& aPage, std::uint64_t aCount)
{
  WriteMetric(aPage,
              metric_type::Counter,
              "task_failures_total",
              "Background tasks, or steps of them, that failed.",
              aCount);
}

}
