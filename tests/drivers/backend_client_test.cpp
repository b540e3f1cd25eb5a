#include "drivers/backend_client.h"
#include "platform/server_protocol.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(backend_client){};

TEST(backend_client, UsesTheNativeProtocolUnlessForwarded)
{
  backend_client_config config;
  config.mForwardProtocol = platform::MakePlatformProtocol();
  server_request native;
  native.mKind = request_kind::Run;
  native.mPermit.mAddress = "10.0.0.1:80";
  backend_request_head head =
    ProtocolOf(config, native).mEncode(native, milliseconds(7));
  STRCMP_EQUAL("/v1/run", head.mTarget.c_str());

  server_request forwarded;
  auto request = std::make_shared<forwarded_request>();
  request->mMethod = "GET";
  request->mTarget = "/x/1?q=2";
  forwarded.mForwarded = request;
  head = ProtocolOf(config, forwarded).mEncode(forwarded, milliseconds(7));
  STRCMP_EQUAL("/x/1?q=2", head.mTarget.c_str());
}
