#include "drivers/backend_client.h"
#include "platform/server_dialect.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

}

TEST_GROUP(backend_client){};

TEST(backend_client, UsesTheNativeProtocolUnlessForwarded)
{
  backend_client_config config;
  config.mForwardDialect = platform::MakeServerDialect();
  attempt_order native;
  native.mKind = request_kind::Run;
  native.mPermit.mAddress = "10.0.0.1:80";
  backend_call call =
    DialectOf(config, native).mEncode(native, milliseconds(7));
  STRCMP_EQUAL("/v1/run", call.mTarget.c_str());

  attempt_order forwarded;
  auto request = std::make_shared<forwarded_request>();
  request->mMethod = "GET";
  request->mTarget = "/x/1?q=2";
  forwarded.mForwarded = request;
  call = DialectOf(config, forwarded).mEncode(forwarded, milliseconds(7));
  STRCMP_EQUAL("/x/1?q=2", call.mTarget.c_str());
}
