#include "core/address.h"
#include "tests/integration/test_system.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <list>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/** Connections that are open and say nothing. */
class idle_connections
{
  asio::io_context mContext;
  std::list<tcp::socket> mSockets;

public:
  void Open(const std::string& aAddress, int aCount)
  {
    auto address = hibiscusspool::ParseAddress(aAddress);
    tcp::endpoint endpoint(asio::ip::make_address(address->mIp),
                           address->mPort);
    for (int number = 0; number < aCount; ++number) {
      boost::system::error_code error;
      mSockets.emplace_back(mContext);
      mSockets.back().connect(endpoint, error);
    }
  }

  void Close() { mSockets.clear(); }
};

/** True if an entry host lists itself, which takes a stream and its state. */
bool
ListsItself(const test_system& aSystem, const std::string& aHost)
{
  auto list = Call("GET", aSystem.CallersAddress(aHost), "/v1/entry-hosts");
  return list.mBody.find("\"" + aHost + "\"") != std::string::npos;
}

}

TEST_GROUP(control_connections){};

TEST(control_connections, AControlHostThatRanOutOfDescriptorsIsReachedAgain)
{
  system_options options;
  options.mControlHosts = 1;
  options.mEntryHosts = 1;
  options.mControlDescriptors = 256;
  test_system system(options);
  system.Start("c1");
  CHECK(WaitFor([&] {
    return system.Put("/v1/templates/one", R"({"services":"a"})").mStatus ==
           200;
  }));
  idle_connections herd;
  herd.Open(system.ControlAddress("c1"), 400);
  std::this_thread::sleep_for(milliseconds(500));
  herd.Close();
  system.Start("e1");
  CHECK(WaitFor([&] { return ListsItself(system, "e1"); }));
}

TEST(control_connections, AControlHostThatAnswersConnectionsSlowlyIsReached)
{
  system_options options;
  options.mControlHosts = 1;
  options.mEntryHosts = 1;
  options.mUsesControlProxy = true;
  test_system system(options);
  // A stream needs three times the delay: the first bytes of the connection,
  // the daemon's record and the response to it.
  system.SetLinkBehaviour("e1-c1", R"({"delay_ms":300})");
  system.Start("c1");
  system.Start("e1");
  CHECK(WaitFor([&] { return ListsItself(system, "e1"); }));
}

// Guards against configurations that come late: an entry host waited at control
// hosts that knew that they were cut off from the group.
TEST(control_connections, AnEntryHostAmongCutOffControlHostsReachesTheOthers)
{
  // The time in which the users want a change to be in force.
  constexpr milliseconds kApplyTimeout{ 3000 };
  system_options options;
  options.mControlHosts = 9;
  options.mEntryHosts = 1;
  options.mUsesControlProxy = true;
  test_system system(options);
  system.StartAll();
  // All control hosts of the entry host's failure domain, to which it goes
  // first.
  const std::vector<std::string> cutOff{ "c1", "c4", "c7" };
  auto isCutOff = [&](const std::string& aHost) {
    return std::find(cutOff.begin(), cutOff.end(), aHost) != cutOff.end();
  };
  // The entry host moves to its own failure domain once it knows of it.
  std::this_thread::sleep_for(milliseconds(3000));
  for (const std::string& from : system.ControlHosts()) {
    for (const std::string& to : system.ControlHosts()) {
      if (isCutOff(from) != isCutOff(to)) {
        system.SetLinkBehaviour(from + "-" + to,
                                R"({"silence_open":true,"cut":true})");
      }
    }
  }
  // The others have elected a leader by then.
  std::this_thread::sleep_for(milliseconds(3000));
  CHECK(WaitFor([&] {
    return Call("PUT",
                system.OperatorsAddress("c2"),
                "/v1/teams/after",
                R"({"template":"basic"})")
             .mStatus == 200;
  }));
  CHECK(WaitFor([&] { return system.Query("e1", "after").mStatus == 200; },
                kApplyTimeout));
}
