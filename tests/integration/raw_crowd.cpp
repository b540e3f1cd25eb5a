#include "tests/integration/raw_crowd.h"

#include "core/address.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace test {

namespace {

/** Without progress of any connection for this long, the peer takes no more. */
constexpr milliseconds kStall{ 500 };
/** Small, so that unread responses stay with the sender. */
constexpr int kReceiveBuffer = 4096;

std::chrono::steady_clock::time_point
Now()
{
  return std::chrono::steady_clock::now();
}

}

raw_crowd::raw_crowd(const std::string& aAddress, std::size_t aCount)
{
  auto parsed = hibiscusspool::ParseAddress(aAddress);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(parsed->mPort);
  inet_pton(AF_INET, parsed->mIp.c_str(), &peer.sin_addr);
  for (std::size_t number = 0; number < aCount; ++number) {
    int made = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(
      made, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    // A connection that fails ends the first attempt to send.
    static_cast<void>(
      connect(made, reinterpret_cast<const sockaddr*>(&peer), sizeof peer));
    mMembers.push_back({ made });
  }
}

raw_crowd::~raw_crowd()
{
  for (const member& client : mMembers) {
    close(client.mSocket);
  }
}

void
raw_crowd::Continue(member& aMember, const std::string& aBytes)
{
  ssize_t sent = send(aMember.mSocket,
                      aBytes.data() + aMember.mSent,
                      aBytes.size() - aMember.mSent,
                      MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    aMember.mIsDone = errno != EAGAIN && errno != EWOULDBLOCK;
    return;
  }
  aMember.mSent += static_cast<std::size_t>(sent);
  aMember.mIsDone = aMember.mSent == aBytes.size();
}

void
raw_crowd::Send(const std::string& aBytes, milliseconds aTimeout)
{
  for (member& client : mMembers) {
    client.mSent = 0;
    client.mIsDone = false;
  }
  auto limit = Now() + aTimeout;
  while (Now() < limit) {
    std::vector<pollfd> waiting;
    std::vector<member*> waiters;
    for (member& client : mMembers) {
      if (!client.mIsDone) {
        waiting.push_back({ client.mSocket, POLLOUT, 0 });
        waiters.push_back(&client);
      }
    }
    bool isStalled = waiting.empty() ||
                     poll(waiting.data(), waiting.size(), kStall.count()) <= 0;
    if (isStalled) {
      return;
    }
    for (std::size_t index = 0; index < waiting.size(); ++index) {
      if (waiting[index].revents != 0) {
        Continue(*waiters[index], aBytes);
      }
    }
  }
}

process_figures
FiguresOf(pid_t aProcess)
{
  std::string folder = "/proc/" + std::to_string(aProcess);
  process_figures figures;
  std::ifstream status(folder + "/status");
  constexpr std::size_t kKibibyte = 1024;
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      status >> figures.mPeakBytes;
      figures.mPeakBytes *= kKibibyte;
    }
  }
  std::error_code problem;
  for (auto entry =
         std::filesystem::directory_iterator(folder + "/fd", problem);
       !problem && entry != std::filesystem::directory_iterator();
       entry.increment(problem)) {
    ++figures.mDescriptors;
  }
  return figures;
}

void
ResetPeak(pid_t aProcess)
{
  std::ofstream("/proc/" + std::to_string(aProcess) + "/clear_refs") << "5";
}

}
