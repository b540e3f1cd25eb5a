// Plain HTTP/1.1 over blocking sockets, and the stand-in servers of the
// platform, for the cases of the review. Standard library and POSIX only.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lab {

using steady = std::chrono::steady_clock;
using std::string;

inline const steady::time_point kStart = steady::now();

inline long
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               kStart)
    .count();
}

inline long
WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(long aMs)
{
  if (aMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  }
}

/** The record of a run: what was sent, answered and run. */
class record
{
  std::FILE* mFile = nullptr;
  std::mutex mLock;

public:
  void Open(const string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  void Line(const string& aText)
  {
    std::lock_guard guard(mLock);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%7ld ms  %s\n", NowMs(), aText.c_str());
      std::fflush(mFile);
    }
  }
};

inline record gRecord;

struct address
{
  string mIp;
  int mPort = 0;
  [[nodiscard]] string Text() const
  {
    return mIp + ":" + std::to_string(mPort);
  }
};

inline address
ParseAddress(const string& aText)
{
  std::size_t colon = aText.rfind(':');
  return { aText.substr(0, colon), std::atoi(aText.c_str() + colon + 1) };
}

inline std::vector<address>
ParseAddresses(const string& aText)
{
  std::vector<address> all;
  std::stringstream stream(aText);
  for (string one; std::getline(stream, one, ',');) {
    all.push_back(ParseAddress(one));
  }
  return all;
}

inline sockaddr_in
ToSockaddr(const address& aAddress)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &raw.sin_addr);
  return raw;
}

inline string
Lower(string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

/** A socket with a read buffer; closes itself. */
class connection
{
  int mSocket;
  string mBuffer;

public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }

  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
    mSocket = -1;
  }
  [[nodiscard]] bool IsOpen() const { return mSocket >= 0; }
  [[nodiscard]] int Socket() const { return mSocket; }

  /** False if the peer has closed or everything isn't written in time. */
  bool Write(const string& aBytes, long aUntilMs)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      pollfd waiter{ mSocket, POLLOUT, 0 };
      long left = aUntilMs - NowMs();
      if (left <= 0 || poll(&waiter, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
      ssize_t count = send(mSocket,
                           aBytes.data() + sent,
                           aBytes.size() - sent,
                           MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN) {
        return false;
      }
      sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
  }

  bool Fill(long aUntilMs)
  {
    pollfd waiter{ mSocket, POLLIN, 0 };
    long left = aUntilMs - NowMs();
    if (left <= 0 || poll(&waiter, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char block[16384];
    ssize_t count = recv(mSocket, block, sizeof block, 0);
    if (count <= 0) {
      return false;
    }
    mBuffer.append(block, static_cast<std::size_t>(count));
    return true;
  }

  /** Reads one message with a length (or none); false if it breaks off. */
  bool ReadMessage(string& aFirstLine,
                   std::map<string, string>& aFields,
                   string& aBody,
                   long aUntilMs)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == string::npos) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    std::stringstream head(mBuffer.substr(0, end));
    std::getline(head, aFirstLine);
    if (!aFirstLine.empty() && aFirstLine.back() == '\r') {
      aFirstLine.pop_back();
    }
    for (string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      std::size_t colon = line.find(':');
      if (colon != string::npos) {
        std::size_t start = line.find_first_not_of(' ', colon + 1);
        aFields[Lower(line.substr(0, colon))] =
          start == string::npos ? "" : line.substr(start);
      }
    }
    mBuffer.erase(0, end + 4);
    std::size_t length = 0;
    if (aFields.contains("content-length")) {
      length = std::strtoul(aFields["content-length"].c_str(), nullptr, 10);
    }
    while (mBuffer.size() < length) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    aBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }
};

inline std::shared_ptr<connection>
Connect(const address& aAddress, long aTimeoutMs)
{
  int raw = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto made = std::make_shared<connection>(raw);
  sockaddr_in to = ToSockaddr(aAddress);
  if (connect(raw, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    pollfd waiter{ raw, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&waiter, 1, static_cast<int>(aTimeoutMs)) <= 0 ||
        getsockopt(raw, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      return nullptr;
    }
  }
  int on = 1;
  setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return made;
}

struct answer
{
  /** 0 if there was no complete answer. */
  int mStatus = 0;
  std::map<string, string> mFields;
  string mBody;
};

/** One exchange on an open connection; closes it unless it can be kept. */
inline answer
Exchange(connection& aConnection, const string& aRequest, long aUntilMs)
{
  answer got;
  string first;
  bool isComplete =
    aConnection.Write(aRequest, aUntilMs) &&
    aConnection.ReadMessage(first, got.mFields, got.mBody, aUntilMs);
  if (!isComplete) {
    aConnection.Close();
    return {};
  }
  got.mStatus = first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  if (Lower(got.mFields["connection"]) == "close") {
    aConnection.Close();
  }
  return got;
}

inline string
MakeRequest(const string& aMethod,
            const string& aPath,
            const string& aHost,
            const std::vector<std::pair<string, string>>& aFields,
            const string& aBody)
{
  string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  for (const auto& [name, value] : aFields) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/** A call on a new connection. */
inline answer
Call(const address& aAddress,
     const string& aMethod,
     const string& aPath,
     const string& aBody,
     long aTimeoutMs)
{
  long until = NowMs() + aTimeoutMs;
  auto opened = Connect(aAddress, aTimeoutMs);
  if (opened == nullptr) {
    return {};
  }
  return Exchange(*opened,
                  MakeRequest(aMethod,
                              aPath,
                              aAddress.Text(),
                              { { "Content-Type", "application/json" } },
                              aBody),
                  until);
}

/** A caller of the control hosts: another host after a failure, a 5xx or a
 * second without an answer. Returns the status, 0 after `aGiveUpMs`. */
inline int
CallControl(const std::vector<address>& aHosts,
            std::size_t aFirst,
            const string& aPath,
            const string& aBody,
            long aGiveUpMs,
            const string& aWhat)
{
  long end = NowMs() + aGiveUpMs;
  long pause = 50;
  for (std::size_t number = aFirst; NowMs() < end; ++number) {
    const address& host = aHosts[number % aHosts.size()];
    answer got = Call(host, "POST", aPath, aBody, 1000);
    if (!aWhat.empty()) {
      gRecord.Line("operator: " + aWhat + " to " + host.Text() + " -> " +
                   (got.mStatus == 0 ? string("no answer within a second")
                                     : std::to_string(got.mStatus)));
    }
    bool isFinal = got.mStatus >= 200 && got.mStatus < 500 &&
                   got.mStatus != 408 && got.mStatus != 429;
    if (isFinal) {
      return got.mStatus;
    }
    SleepMs(pause);
    pause = std::min(pause * 2, 400L);
  }
  return 0;
}

struct server_settings
{
  string mId;
  string mService;
  string mZone;
  address mAddress;
  int mSlots = 6;
  int mQueue = 24;
  double mWorkMs = 90;
};

/**
 * A server of the platform: slots and a queue, refuses with 503 and
 * `X-Not-Executed` when both are full or the deadline passed in the queue,
 * echoes `X-Request-Id`, and sends heartbeats.
 */
class server
{
public:
  server_settings mSettings;
  /** Called as a request begins to run; with its id. */
  std::function<void(const server&, const string&)> mOnRun;
  /** Called for each request that arrives and is not refused with 421. */
  std::function<void(const server&, const string&)> mOnArrival;
  /** Called for what happens to a request here; with its id. */
  std::function<void(const server&, const string&, const string&)> mOnEvent;
  /** Whether this answer is sent a second time, late. */
  std::function<bool()> mIsDoubled;
  /** Whether this server crashes as it begins to run such a request; it is
   * back after some seconds, under the same id. */
  std::function<bool(const string&)> mCrashesOn;
  long mDownMs = 3000;
  /** How long it is cold after a start during traffic. */
  long mWarmupMs = 0;
  std::atomic<long> mCrashes{ 0 };
  std::atomic<long> mAnswers{ 0 };
  std::atomic<long> mRefusals{ 0 };
  std::atomic<long> mDoubled{ 0 };
  std::atomic<bool> mIsStopping{ false };

private:
  std::mutex mLock;
  std::condition_variable mFree;
  int mRunning = 0;
  int mWaiting = 0;
  std::mt19937 mRandom{ std::random_device{}() };
  std::vector<std::thread> mThreads;
  int mListener = -1;
  std::atomic<long> mBorn{ WallMs() };
  std::atomic<long> mDownUntil{ 0 };
  /** Number of the start; grows with each crash. */
  std::atomic<int> mEpoch{ 0 };
  std::map<connection*, int> mOpen;
  long mStamp = 0;

  bool Acquire(long aUntilMs)
  {
    std::unique_lock guard(mLock);
    int epoch = mEpoch;
    if (mRunning < mSettings.mSlots) {
      ++mRunning;
      return true;
    }
    if (mWaiting >= mSettings.mQueue) {
      return false;
    }
    ++mWaiting;
    bool isFree = mFree.wait_until(
      guard, kStart + std::chrono::milliseconds(aUntilMs), [&] {
        return mRunning < mSettings.mSlots || mIsStopping || epoch != mEpoch;
      });
    --mWaiting;
    if (!isFree || mIsStopping || epoch != mEpoch) {
      return false;
    }
    ++mRunning;
    return true;
  }

  void Tell(const string& aId, const string& aWhat)
  {
    if (mOnEvent) {
      mOnEvent(*this, aId, aWhat);
    }
  }

  void Release(int aEpoch)
  {
    {
      std::lock_guard guard(mLock);
      mRunning -= aEpoch == mEpoch ? 1 : 0;
    }
    mFree.notify_one();
  }

  string Head(int aStatus, const string& aId, const string& aMore)
  {
    std::lock_guard guard(mLock);
    string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
    if (!aId.empty()) {
      text += "X-Request-Id: " + aId + "\r\n";
    }
    text += "X-Server-Load: " + std::to_string(mRunning) + "," +
            std::to_string(mWaiting) + "," + std::to_string(mSettings.mSlots) +
            "\r\nKeep-Alive: timeout=30\r\n";
    return text + aMore;
  }

  /** Handles one request; the answer's bytes. */
  string Handle(const string& aFirst, std::map<string, string>& aFields)
  {
    string id = aFields["x-request-id"];
    string expected = aFields["x-expect-instance"];
    if (aFirst.starts_with("GET /health")) {
      return Head(200,
                  "",
                  "X-Warmup-Ms: " + std::to_string(WarmupLeft()) +
                    "\r\nX-Instance-Id: " + mSettings.mId +
                    "\r\nContent-Length: 0\r\n\r\n");
    }
    if (!expected.empty() && expected != mSettings.mId) {
      return Head(421, id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (mOnArrival) {
      mOnArrival(*this, id);
    }
    long deadline = NowMs() + std::atol(aFields["x-deadline-ms"].c_str());
    if (!Acquire(deadline)) {
      ++mRefusals;
      Tell(id, "is full, answers 503 with X-Not-Executed");
      return Head(503, id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    int epoch = mEpoch;
    Tell(id, "runs the request");
    if (mOnRun) {
      mOnRun(*this, id);
    }
    if (mCrashesOn && mCrashesOn(aFirst)) {
      Crash();
      return {};
    }
    double work = 0;
    long stamp = 0;
    {
      std::lock_guard guard(mLock);
      std::uniform_real_distribution<double> spread(0.5, 1.5);
      work = mSettings.mWorkMs * spread(mRandom);
      stamp = ++mStamp;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(long(work * 1000)));
    Release(epoch);
    if (epoch != mEpoch) {
      return {};
    }
    ++mAnswers;
    return Head(200,
                id,
                "X-Server-Stamp: " + mSettings.mId + "." +
                  std::to_string(stamp) +
                  "\r\nContent-Length: 8\r\n\r\nanswered");
  }

  void Serve(std::shared_ptr<connection> aConnection)
  {
    string extra;
    string extraId;
    while (!mIsStopping) {
      string first;
      std::map<string, string> fields;
      string body;
      if (!aConnection->ReadMessage(first, fields, body, NowMs() + 30000)) {
        return;
      }
      // The point where the next answer is expected.
      if (!extra.empty()) {
        ++mDoubled;
        Tell(extraId,
             "sends the late copy of its answer to this id, as request " +
               fields["x-request-id"] + " has come on the connection");
        if (!aConnection->Write(std::exchange(extra, {}), NowMs() + 5000)) {
          return;
        }
      }
      string answered = Handle(first, fields);
      if (answered.empty()) {
        return;
      }
      if (mIsDoubled && mIsDoubled()) {
        extra = answered;
        extraId = fields["x-request-id"];
      }
      if (!aConnection->Write(answered, NowMs() + 5000)) {
        return;
      }
    }
  }

  /** The listening socket, or a negative number. */
  int Listen()
  {
    int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = ToSockaddr(mSettings.mAddress);
    if (bind(made, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        listen(made, 256) != 0) {
      close(made);
      return -1;
    }
    return made;
  }

  void Accept()
  {
    while (!mIsStopping) {
      if (IsDown() && mListener >= 0) {
        close(mListener);
        mListener = -1;
      }
      if (mListener < 0) {
        SleepMs(20);
        if (!IsDown()) {
          mBorn = WallMs();
          mListener = Listen();
        }
        continue;
      }
      pollfd waiter{ mListener, POLLIN, 0 };
      if (poll(&waiter, 1, 100) <= 0) {
        continue;
      }
      int raw = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (raw < 0) {
        continue;
      }
      int on = 1;
      setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, made = std::make_shared<connection>(raw)] {
        {
          std::lock_guard guard(mLock);
          mOpen[made.get()] = made->Socket();
        }
        Serve(made);
        std::lock_guard guard(mLock);
        mOpen.erase(made.get());
        made->Close();
      }).detach();
    }
  }

  void Beat(const std::vector<address>& aControl)
  {
    long sequence = 0;
    std::size_t host = std::random_device{}();
    long born = mBorn;
    while (!mIsStopping) {
      if (IsDown()) {
        SleepMs(50);
        continue;
      }
      if (born != mBorn) {
        born = mBorn;
        sequence = 0;
      }
      string body =
        "{\"service\":\"" + mSettings.mService + "\",\"address\":\"" +
        mSettings.mAddress.Text() + "\",\"zone\":\"" + mSettings.mZone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(mSettings.mSlots) +
        ",\"state\":\"ready\",\"warmup_left_ms\":" +
        std::to_string(WarmupLeft()) + ",\"born\":" + std::to_string(born) +
        ",\"seq\":" + std::to_string(++sequence) + "}";
      answer got = Call(aControl[host % aControl.size()],
                        "POST",
                        "/api/Instances.Heartbeat/" + mSettings.mId,
                        body,
                        1000);
      if (got.mStatus / 100 != 2) {
        ++host;
        SleepMs(100);
        continue;
      }
      for (int step = 0; step < 12 && !mIsStopping && born == mBorn; ++step) {
        SleepMs(100);
      }
    }
  }

public:
  [[nodiscard]] bool IsDown() const { return NowMs() < mDownUntil; }

  /** How much longer it is cold; only after a crash. */
  [[nodiscard]] long WarmupLeft() const
  {
    return mEpoch == 0 || IsDown()
             ? 0
             : std::max(0L, mDownUntil + mWarmupMs - NowMs());
  }

  void Crash()
  {
    std::lock_guard guard(mLock);
    ++mCrashes;
    ++mEpoch;
    mDownUntil = NowMs() + mDownMs;
    mRunning = 0;
    for (auto& [open, socket] : mOpen) {
      linger atOnce{ 1, 0 };
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
      shutdown(socket, SHUT_RDWR);
    }
  }

  explicit server(server_settings aSettings)
    : mSettings(std::move(aSettings))
  {
  }

  bool Start(const std::vector<address>& aControl)
  {
    mListener = Listen();
    if (mListener < 0) {
      return false;
    }
    mThreads.emplace_back([this] { Accept(); });
    mThreads.emplace_back([this, aControl] { Beat(aControl); });
    return true;
  }

  void Stop()
  {
    mIsStopping = true;
    mFree.notify_all();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }
};

/** Waits until each entry host says that it is ready. */
inline bool
AwaitReady(const std::vector<address>& aReadiness, long aTimeoutMs)
{
  long end = NowMs() + aTimeoutMs;
  std::size_t ready = 0;
  while (ready < aReadiness.size() && NowMs() < end) {
    bool isReady =
      Call(aReadiness[ready], "GET", "/api/ready", "", 1000).mStatus == 200;
    ready += isReady ? 1 : 0;
    if (!isReady) {
      SleepMs(100);
    }
  }
  return ready == aReadiness.size();
}

inline string
Env(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

}
