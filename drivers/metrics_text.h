#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <sstream>
#include <string_view>

namespace hibiscusspool {

inline constexpr std::string_view kMetricsPath = "/metrics";
/** The Prometheus text format. */
inline constexpr std::string_view kMetricsContentType =
  "text/plain; version=0.0.4";

enum class metric_type
{
  Counter,
  Gauge,
  Histogram,
};

template<>
inline constexpr name_table<metric_type, 3> kNames<metric_type>{ {
  { metric_type::Counter, "counter" },
  { metric_type::Gauge, "gauge" },
  { metric_type::Histogram, "histogram" },
} };

/** Begins a metric, whose name gets the prefix `hibiscusspool_`. */
void
WriteMetricHeader(std::ostringstream& aPage,
                  metric_type aType,
                  std::string_view aName,
                  std::string_view aHelp);

/** Writes a metric that has one value and no labels. */
template<typename number>
void
WriteMetric(std::ostringstream& aPage,
            metric_type aType,
            std::string_view aName,
            std::string_view aHelp,
            number aValue)
{
  WriteMetricHeader(aPage, aType, aName, aHelp);
  aPage << "hibiscusspool_" << aName << ' ' << aValue << '\n';
}

/** Writes the metric of the background tasks that this process has lost. */
void
WriteTaskFailures(std::ostringstream& aPage, std::uint64_t aCount);

}
