#include "drivers/client_metrics.h"

#include "drivers/metrics_text.h"

namespace hibiscusspool {

std::string
MakeClientMetrics(const client_status& aStatus)
{
  std::ostringstream page;
  WriteMetric(page,
              metric_type::Gauge,
              "client_bytes",
              "Bytes of requests and of unread responses that clients hold.",
              aStatus.mBytes);
  WriteMetric(page,
              metric_type::Gauge,
              "client_bytes_limit",
              "Bytes that clients may hold.",
              aStatus.mLimits.mMaxBytes);
  WriteMetric(page,
              metric_type::Gauge,
              "client_connections",
              "Open connections of clients, on all listeners.",
              aStatus.mConnections);
  WriteMetric(page,
              metric_type::Gauge,
              "client_connections_limit",
              "Connections that clients may have open.",
              aStatus.mLimits.mMaxConnections);
  WriteMetricHeader(page,
                    metric_type::Counter,
                    "clients_closed_total",
                    "Connections closed and requests refused, by the limit "
                    "that clients met.");
  for (const auto& row : kNames<client_limit>) {
    page << "hibiscusspool_clients_closed_total{limit=\"" << row.mName << "\"} "
         << aStatus.mClosed[static_cast<std::size_t>(row.mValue)] << '\n';
  }
  return page.str();
}

}
