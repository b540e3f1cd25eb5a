#include "drivers/watch_client.h"

#include <atomic>
#include <control.grpc.pb.h>
#include <functional>
#include <grpcpp/grpcpp.h>

#include <CppUTest/TestHarness.h>

namespace {

using namespace hibiscusspool;

/** A control host that answers each mark in a given way. */
class scripted_host : public wire::Control::Service
{
  std::unique_ptr<grpc::Server> mServer;
  int mPort = 0;

public:
  /** Writes the reply to a mark; false ends the stream. */
  std::function<bool(std::uint64_t, wire::WatchDown&)> mAnswer;
  std::atomic<int> mStreams{ 0 };

  scripted_host()
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      "127.0.0.1:0", grpc::InsecureServerCredentials(), &mPort);
    builder.RegisterService(this);
    mServer = builder.BuildAndStart();
  }

  ~scripted_host() override { Stop(); }

  void Stop()
  {
    mServer->Shutdown(std::chrono::system_clock::now());
    mServer->Wait();
  }

  [[nodiscard]] host_id Id() const
  {
    return { "127.0.0.1:" + std::to_string(mPort) };
  }

  grpc::Status Watch(
    grpc::ServerContext* /*aContext*/,
    grpc::ServerReaderWriter<wire::WatchDown, wire::WatchUp>* aStream) override
  {
    ++mStreams;
    wire::WatchUp report;
    while (aStream->Read(&report)) {
      wire::WatchDown reply;
      if (!mAnswer(report.mark(), reply)) {
        break;
      }
      aStream->Write(reply);
    }
    return grpc::Status::OK;
  }
};

void
AddHost(wire::WatchDown& aReply,
        const host_id& aHost,
        const std::string& aDomain)
{
  aReply.add_control_hosts(aHost.mValue);
  aReply.add_control_domains(aDomain);
}

}

TEST_GROUP(watch_client){};

TEST(watch_client, TheListOfAHostThatIsCutOffReplacesNoCurrentHosts)
{
  scripted_host seed;
  scripted_host outdated;
  scripted_host current;
  // The seed is lost once the daemon has left it for the host of its own
  // failure domain, which knows only a host that is gone.
  seed.mAnswer = [&](std::uint64_t aMark, wire::WatchDown& aReply) {
    AddHost(aReply, seed.Id(), "other");
    AddHost(aReply, outdated.Id(), "own");
    AddHost(aReply, current.Id(), "third");
    aReply.set_has_majority(true);
    aReply.set_confirmed_mark(aMark);
    return outdated.mStreams == 0;
  };
  outdated.mAnswer = [&](std::uint64_t /*aMark*/, wire::WatchDown& aReply) {
    AddHost(aReply, host_id{ "127.0.0.1:1" }, "own");
    aReply.set_cut_off(true);
    return true;
  };
  current.mAnswer = [](std::uint64_t aMark, wire::WatchDown& aReply) {
    aReply.set_has_majority(true);
    aReply.set_confirmed_mark(aMark);
    return true;
  };
  watch_client_config config;
  config.mAddresses = { { seed.Id(), seed.Id().mValue } };
  config.mFailureDomain.mValue = "own";
  watch_client_hooks hooks;
  hooks.mMakeHello = [] { return entry_host_record{}; };
  hooks.mReport = [](steady_time) { return watch_report{}; };
  hooks.mApplyUpdate = [](const watch_update&, steady_time) {};
  hooks.mOnMarkConfirmed = [](const sent_mark&) {};
  hooks.mOnControlHosts = [](const std::vector<host_id>&) {};
  auto client = watch_client::Create(std::move(config), std::move(hooks));
  for (int wait = 0; wait < 80 && current.mStreams == 0; ++wait) {
    std::this_thread::sleep_for(milliseconds(100));
  }
  client.Stop();
  CHECK(outdated.mStreams > 0);
  CHECK(current.mStreams > 0);
}
