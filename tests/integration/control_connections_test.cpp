#include "core/address.h"
#include "tests/integration/test_system.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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
