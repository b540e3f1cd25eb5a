#include "drivers/raft_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;
namespace asio = boost::asio;

raft_message
MessageTo(const host_id& aHost)
{
  raft_message message;
  message.mTo.mHost = aHost;
  return message;
}

}

TEST_GROUP(raft_transport)
{
  asio::io_context mContext;
  asio::ip::tcp::acceptor mPeer{
    mContext, { asio::ip::address_v4::loopback(), asio::ip::port_type{ 0 } }
  };
  int mConnections = 0;

  /** Takes connections and closes them at once. */
  void Accept()
  {
    mPeer.async_accept([this](const boost::system::error_code& aError,
                              const asio::ip::tcp::socket& /*aSocket*/) {
      if (!aError) {
        ++mConnections;
        Accept();
      }
    });
  }

  host_id Peer() const
  {
    return { "127.0.0.1:" + std::to_string(mPeer.local_endpoint().port()) };
  }

  /** Connections that the peer gets within a time. */
  int ConnectionsWithin(milliseconds aTime)
  {
    mConnections = 0;
    mContext.run_for(aTime);
    return mConnections;
  }
};

TEST(raft_transport, AHostThatIsNoMemberAnyMoreGetsNoConnections)
{
  Accept();
  auto transport = raft_transport::Create({});
  transport.Send({ MessageTo(Peer()) });
  CHECK(ConnectionsWithin(milliseconds(2000)) > 0);
  transport.CloseOthers({});
  // An attempt that had begun may still arrive.
  ConnectionsWithin(milliseconds(200));
  LONGS_EQUAL(0, ConnectionsWithin(milliseconds(4000)));
  transport.Stop();
}

TEST(raft_transport, AMemberKeepsItsChannel)
{
  Accept();
  auto transport = raft_transport::Create({});
  transport.Send({ MessageTo(Peer()) });
  CHECK(ConnectionsWithin(milliseconds(2000)) > 0);
  transport.CloseOthers({ Peer() });
  CHECK(ConnectionsWithin(milliseconds(2500)) > 0);
  transport.Stop();
}
