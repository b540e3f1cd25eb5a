#include "messages/control_codec.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

/** A byte that no UTF-8 text contains. */
const std::string kNoUtf8 = "name\xff";

}

TEST_GROUP(control_codec){};

TEST(control_codec, ACommandWithBytesThatAreNotUtf8CanBeDecoded)
{
  claim_record claim;
  claim.mTeam.mValue = "team";
  claim.mKey.mValue = kNoUtf8;
  change_command command;
  command.mChanges.push_back(claim);
  auto decoded = DecodeCommand(EncodeCommand(command));
  CHECK(decoded.has_value());
  const auto& read = std::get<claim_record>(decoded.value().mChanges.front());
  STRCMP_EQUAL(kNoUtf8.c_str(), read.mKey.mValue.c_str());
}

TEST(control_codec, AStateWithBytesThatAreNotUtf8CanBeDecoded)
{
  failure_domain_record domain;
  domain.mFailureDomain.mValue = kNoUtf8;
  domain.mState = failure_domain_state::Out;
  change_command command;
  command.mChanges.push_back(domain);
  control_state state(control_limits{});
  state.Apply(1, command);
  LONGS_EQUAL(1, state.FailureDomains().size());
  auto decoded = DecodeState(EncodeState(state), control_limits{});
  CHECK(decoded.has_value());
  CHECK(decoded.value().Records() == state.Records());
}
