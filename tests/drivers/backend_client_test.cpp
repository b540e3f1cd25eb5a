#include "drivers/backend_client.h"
#include "platform/server_protocol.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(backend_client){};

TEST(backend_client, ARequestOfOurOwnInterfaceIsPutInOurOwnDialect)
{
  backend_client_config config;
  config.mForwardProtocol = platform::MakePlatformProtocol();
  server_request own;
  own.mKind = request_kind::Run;
  own.mPermit.mAddress = "10.0.0.1:80";
  backend_request_head call =
    ProtocolOf(config, own).mEncode(own, milliseconds(7));
  STRCMP_EQUAL("/v1/run", call.mTarget.c_str());

  server_request forwarded;
  auto passedOn = std::make_shared<forwarded_request>();
  passedOn->mMethod = "GET";
  passedOn->mTarget = "/x/1?q=2";
  forwarded.mForwarded = passedOn;
  call = ProtocolOf(config, forwarded).mEncode(forwarded, milliseconds(7));
  STRCMP_EQUAL("/x/1?q=2", call.mTarget.c_str());
}
