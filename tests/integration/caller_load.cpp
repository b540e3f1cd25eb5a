#include "tests/integration/caller_load.h"

#include <cmath>
#include <set>

namespace test {

caller_load::caller_load(const test_system& aSystem,
                         std::size_t aCallers,
                         std::string aTeam)
  : mSystem(aSystem)
  , mTeam(std::move(aTeam))
{
  for (std::size_t number = 0; number < aCallers; ++number) {
    mCallers.emplace_back([this, number] { RunCaller(number); });
  }
}

caller_load::~caller_load()
{
  Stop();
}

std::vector<std::string>
caller_load::FetchEntryHosts(std::size_t aCaller) const
{
  std::vector<std::string> addresses;
  std::vector<std::string> hosts = mSystem.EntryHosts();
  for (std::size_t turn = 0; turn < hosts.size() && addresses.empty(); ++turn) {
    const std::string& entryHost = hosts[(aCaller + turn) % hosts.size()];
    auto list =
      Call("GET", mSystem.CallersAddress(entryHost), "/v1/entry-hosts");
    if (list.mStatus != 200) {
      continue;
    }
    for (const auto& host :
         list.mJson.as_object().at("entry_hosts").as_array()) {
      addresses.emplace_back(host.as_object().at("address").as_string());
    }
  }
  return addresses;
}

void
caller_load::RunCaller(std::size_t aCaller)
{
  std::vector<std::string> addresses;
  auto fetchedAt = std::chrono::steady_clock::time_point();
  for (std::size_t turn = aCaller; !mIsStopping; ++turn) {
    auto now = std::chrono::steady_clock::now();
    // keep_list_ms is 500 in the settings of the tests.
    if (now - fetchedAt > milliseconds(500) || addresses.empty()) {
      addresses = FetchEntryHosts(aCaller);
      fetchedAt = now;
      continue;
    }
    const std::string& address = addresses[turn % addresses.size()];
    std::string body = "body " + std::to_string(mNextBody++);
    auto result = Call("POST", address, "/v1/teams/" + mTeam + "/query", body);
    std::lock_guard guard(mLock);
    mHistory.push_back({ address, std::move(result) });
  }
}

std::vector<call_record>
caller_load::Stop()
{
  mIsStopping = true;
  for (std::thread& caller : mCallers) {
    if (caller.joinable()) {
      caller.join();
    }
  }
  std::lock_guard guard(mLock);
  return mHistory;
}

std::size_t
caller_load::Count()
{
  std::lock_guard guard(mLock);
  return mHistory.size();
}

history_summary
Summarise(const std::vector<call_record>& aHistory)
{
  history_summary summary;
  std::set<std::string> reasons;
  for (const call_record& record : aHistory) {
    const call_result& result = record.mResult;
    if (result.mStatus == 0) {
      ++summary.mLost;
      continue;
    }
    if (result.mStatus != 200) {
      ++summary.mRefused;
      reasons.insert(result.Text("refusal.reason") + ": " +
                     result.Text("refusal.detail"));
      continue;
    }
    ++summary.mAnswered;
    double coverage = result.Number("coverage");
    const auto& object = result.mJson.as_object();
    const auto& answers = object.at("answers").as_array();
    auto asked = object.at("services_asked").to_number<double>();
    double parts = static_cast<double>(answers.size());
    summary.mPartial += coverage < 1 ? 1 : 0;
    summary.mInconsistent += std::abs(coverage - parts / asked) > 1e-6 ? 1 : 0;
    std::set<std::string> versions;
    std::set<std::string> services;
    for (const auto& answer : answers) {
      std::string body(answer.as_object().at("body").as_string());
      std::string service(answer.as_object().at("service").as_string());
      // The stand-ins respond to queries with SERVICE@INDEX_VERSION.
      versions.insert(body.substr(body.find('@') + 1));
      services.insert(service);
      summary.mInconsistent += body.starts_with(service + "@") ? 0 : 1;
    }
    summary.mInconsistent += services.size() == answers.size() ? 0 : 1;
    summary.mMixedSnapshots += versions.size() > 1 ? 1 : 0;
  }
  for (const std::string& reason : reasons) {
    summary.mReasons += reason + " ";
  }
  return summary;
}

}
