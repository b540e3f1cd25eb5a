#pragma once

// What the cases of this review share: a small deployment of the project's own
// program, stand-in servers that follow the platform's protocol, a client, and
// the record of what was sent, answered and run.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using ms = std::chrono::milliseconds;

inline std::string
Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

/** The record of the case, one line for each event, with the time since the
 * start in milliseconds. */
class record
{
  std::mutex mLock;
  std::ofstream mFile;
  time_point mStart = steady::now();

public:
  explicit record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  long Elapsed() const
  {
    return std::chrono::duration_cast<ms>(steady::now() - mStart).count();
  }
  void Line(const std::string& aText)
  {
    std::lock_guard guard(mLock);
    mFile << Elapsed() << ' ' << aText << '\n' << std::flush;
  }
  void Say(const std::string& aText)
  {
    Line(aText);
    std::cout << aText << std::endl;
  }
};

// --- HTTP ----------------------------------------------------------------

struct message
{
  /** Request line or status line. */
  std::string mFirst;
  /** Names in lower case. */
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }
  int Status() const
  {
    std::size_t space = mFirst.find(' ');
    return space == std::string::npos ? 0
                                      : std::atoi(mFirst.c_str() + space + 1);
  }
  std::string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  std::string Path() const
  {
    std::size_t first = mFirst.find(' ');
    std::size_t last = mFirst.rfind(' ');
    return mFirst.substr(first + 1, last - first - 1);
  }
};

/** A blocking socket with a time limit for each call. */
class connection
{
  int mSocket = -1;
  std::string mBuffer;

public:
  connection() = default;
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }
  int Socket() const { return mSocket; }
  bool IsOpen() const { return mSocket >= 0; }
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
    mSocket = -1;
  }
  void Reset()
  {
    linger off{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &off, sizeof off);
    Close();
  }

  static sockaddr_in Endpoint(const std::string& aAddress)
  {
    std::size_t colon = aAddress.find(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &endpoint.sin_addr);
    endpoint.sin_port =
      htons(static_cast<uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
    return endpoint;
  }

  bool Open(const std::string& aAddress, ms aTimeout)
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in endpoint = Endpoint(aAddress);
    int done =
      connect(mSocket, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint);
    if (done != 0 && errno == EINPROGRESS) {
      pollfd waiter{ mSocket, POLLOUT, 0 };
      int problem = ETIMEDOUT;
      socklen_t size = sizeof problem;
      if (poll(&waiter, 1, static_cast<int>(aTimeout.count())) == 1) {
        getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &problem, &size);
      }
      done = problem == 0 ? 0 : -1;
    }
    if (done != 0) {
      Close();
      return false;
    }
    int flags = fcntl(mSocket, F_GETFL);
    fcntl(mSocket, F_SETFL, flags & ~O_NONBLOCK);
    int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
  }

  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      ssize_t count =
        send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /** Reads more bytes; false at the end, an error or the time limit. */
  bool Fill(time_point aUntil)
  {
    auto left = std::chrono::duration_cast<ms>(aUntil - steady::now()).count();
    pollfd waiter{ mSocket, POLLIN, 0 };
    if (left <= 0 || poll(&waiter, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[16384];
    ssize_t count = recv(mSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  std::optional<message> Read(time_point aUntil)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    message got;
    std::istringstream head(mBuffer.substr(0, end));
    std::string line;
    std::getline(head, got.mFirst);
    while (!got.mFirst.empty() && got.mFirst.back() == '\r') {
      got.mFirst.pop_back();
    }
    while (std::getline(head, line)) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::size_t start = line.find_first_not_of(' ', colon + 1);
      got.mFields.emplace_back(Lower(line.substr(0, colon)),
                               start == std::string::npos ? std::string()
                                                          : line.substr(start));
    }
    mBuffer.erase(0, end + 4);
    std::string length = got.Field("content-length");
    std::size_t size =
      length.empty() ? 0 : static_cast<std::size_t>(std::atoll(length.c_str()));
    while (mBuffer.size() < size) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    got.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return got;
  }
};

/** One call on a new connection; status 0 without a complete answer. */
inline message
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {},
     ms aTimeout = ms(1000),
     const std::string& aFields = {})
{
  connection peer;
  auto until = steady::now() + aTimeout;
  if (!peer.Open(aAddress, aTimeout)) {
    return {};
  }
  std::string text =
    aMethod + " " + aPath + " HTTP/1.1\r\n" +
    (aFields.find("Host:") == std::string::npos ? "Host: " + aAddress + "\r\n"
                                                : std::string()) +
    aFields;
  if (aMethod == "POST") {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  if (!peer.Write(text)) {
    return {};
  }
  return peer.Read(until).value_or(message{});
}

// --- Processes -----------------------------------------------------------

/** Renders a template of the deploy folder from a machine's fields. */
inline std::string
Render(const std::string& aTemplate,
       const std::map<std::string, std::string>& aFields)
{
  std::string text = aTemplate;
  for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
    std::size_t nameEnd = text.find("}}", at);
    std::string name = text.substr(at + 3, nameEnd - at - 3);
    std::string close = "{{/" + name + "}}";
    std::size_t end = text.find(close, nameEnd);
    std::string inner = text.substr(nameEnd + 2, end - nameEnd - 2);
    text.replace(at,
                 end + close.size() - at,
                 aFields.contains(name) ? inner : std::string());
  }
  for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    std::size_t end = text.find("}}", at);
    auto found = aFields.find(text.substr(at + 2, end - at - 2));
    text.replace(
      at, end + 2 - at, found == aFields.end() ? std::string() : found->second);
  }
  return text;
}

struct machine
{
  std::string mName;
  std::string mZone;
  std::string mIp;
  bool mIsFront = false;
  pid_t mProcess = 0;
};

/** A small deployment on loopback addresses, with the commands and the
 * templates of the deploy file. */
class deployment
{
public:
  std::string mTop;
  std::filesystem::path mFolder;
  std::string mNet;
  std::vector<machine> mMachines;
  std::map<std::string, std::string> mExtra;
  std::vector<std::string> mZones{ "za", "zb", "zc" };

  deployment(const std::string& aTop, int aCore, int aFront)
    : mTop(aTop)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
    int process = getpid();
    mNet = "127." + std::to_string(20 + process / 256 % 200) + "." +
           std::to_string(process % 256) + ".";
    for (int number = 0; number < aCore; ++number) {
      mMachines.push_back({ "core" + std::to_string(number),
                            mZones[number % mZones.size()],
                            mNet + std::to_string(10 + number),
                            false });
    }
    for (int number = 0; number < aFront; ++number) {
      mMachines.push_back({ "front" + std::to_string(number),
                            mZones[number % mZones.size()],
                            mNet + std::to_string(50 + number),
                            true });
    }
  }

  ~deployment()
  {
    for (machine& one : mMachines) {
      Signal(one, SIGCONT);
      Signal(one, SIGTERM);
    }
    auto until = steady::now() + std::chrono::seconds(8);
    for (machine& one : mMachines) {
      while (one.mProcess > 0 && waitpid(one.mProcess, nullptr, WNOHANG) == 0) {
        if (steady::now() > until) {
          Signal(one, SIGKILL);
        }
        std::this_thread::sleep_for(ms(20));
      }
      one.mProcess = 0;
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(mFolder, ignored);
    } else {
      std::cout << "kept " << mFolder << std::endl;
    }
  }

  static void Signal(const machine& aMachine, int aSignal)
  {
    if (aMachine.mProcess > 0) {
      kill(aMachine.mProcess, aSignal);
    }
  }

  machine& Find(const std::string& aName)
  {
    return *std::find_if(
      mMachines.begin(), mMachines.end(), [&](const machine& aMachine) {
        return aMachine.mName == aName;
      });
  }

  std::vector<std::string> Addresses(bool aIsFront, const std::string& aPort)
  {
    std::vector<std::string> all;
    for (const machine& one : mMachines) {
      if (one.mIsFront == aIsFront) {
        all.push_back(one.mIp + ":" + aPort);
      }
    }
    return all;
  }
  std::vector<std::string> Fronts() { return Addresses(true, "8226"); }
  std::vector<std::string> Controls() { return Addresses(false, "8224"); }

  void WriteSettings(const machine& aMachine, bool aIsFirst)
  {
    std::map<std::string, std::string> fields{
      { "ip", aMachine.mIp },
      { "zone", aMachine.mZone },
      { "internal_ports.0", "7740" },
      { "internal_ports.1", "7755" },
      { "bootstrap", aIsFirst ? "true" : "false" },
      { "data_dir", (mFolder / ("data-" + aMachine.mName)).string() },
      { "limits.memory_mb", aMachine.mIsFront ? "182" : "256" },
      { "limits.max_fds", aMachine.mIsFront ? "2870" : "4096" },
      { "limits.cpu_share", aMachine.mIsFront ? "0.17" : "0.15" },
      { "bounds.drain_ms", "3000" },
      { "bounds.grace_s", "6" },
      { "bounds.retry_window_s", "10" },
      { "bounds.retry_ratio", "0.2" },
      { "bounds.retry_slack", "116" },
    };
    if (aMachine.mIsFront) {
      fields["listen.front"] = aMachine.mIp + ":8226";
      fields["listen.readiness_addr"] = aMachine.mIp + ":8227";
      fields["listen.directory"] = aMachine.mIp + ":8225";
    } else {
      fields["listen.control"] = aMachine.mIp + ":8224";
    }
    std::string seeds;
    for (const std::string& address : Controls()) {
      if (std::count(seeds.begin(), seeds.end(), ':') < 3) {
        seeds += (seeds.empty() ? "" : ",") + address;
      }
    }
    fields["seeds"] = seeds;
    for (const auto& [name, value] : mExtra) {
      fields[name] = value;
    }
    std::ifstream file(
      mTop + (aMachine.mIsFront ? "/deploy/entry.ini" : "/deploy/control.ini"));
    std::stringstream text;
    text << file.rdbuf();
    std::ofstream(mFolder / (aMachine.mName + ".ini"))
      << Render(text.str(), fields);
  }

  bool Start(machine& aMachine, bool aIsFirst)
  {
    if (!aMachine.mIsFront) {
      std::filesystem::create_directories(mFolder / ("data-" + aMachine.mName));
    }
    WriteSettings(aMachine, aIsFirst);
    std::string program = mTop + "/target/hibiscusspool";
    std::string settings = (mFolder / (aMachine.mName + ".ini")).string();
    std::string log = (mFolder / (aMachine.mName + ".log")).string();
    pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      execl(program.c_str(),
            program.c_str(),
            "serve",
            "--settings",
            settings.c_str(),
            nullptr);
      _exit(127);
    }
    aMachine.mProcess = child;
    return child > 0;
  }

  void StartAll()
  {
    for (machine& one : mMachines) {
      Start(one, true);
    }
  }

  void Kill(machine& aMachine)
  {
    Signal(aMachine, SIGKILL);
    if (aMachine.mProcess > 0) {
      waitpid(aMachine.mProcess, nullptr, 0);
    }
    aMachine.mProcess = 0;
  }

  /** The operator's call, sent again to any control host until it has a clear
   * answer; 0 without one. */
  int Order(const std::string& aPath,
            const std::string& aBody,
            std::chrono::seconds aLimit = std::chrono::seconds(20))
  {
    auto until = steady::now() + aLimit;
    auto controls = Controls();
    for (std::size_t number = 0; steady::now() < until; ++number) {
      message answer =
        Call(controls[number % controls.size()], "POST", aPath, aBody);
      int status = answer.Status();
      if (status == 200 || (status >= 400 && status < 500)) {
        return status;
      }
      std::this_thread::sleep_for(ms(200));
    }
    return 0;
  }

  bool AwaitReady(std::chrono::seconds aLimit = std::chrono::seconds(20))
  {
    auto until = steady::now() + aLimit;
    for (const std::string& address : Addresses(true, "8227")) {
      while (Call(address, "GET", "/api/ready").Status() != 200) {
        if (steady::now() > until) {
          return false;
        }
        std::this_thread::sleep_for(ms(100));
      }
    }
    return true;
  }
};

// --- Servers -------------------------------------------------------------

struct server_options
{
  std::string mService = "s";
  std::string mZone = "za";
  std::string mAddress;
  int mSlots = 4;
  int mQueue = 24;
  ms mWork{ 10 };
};

/** What a server does with a request that it runs. */
struct run_result
{
  int mStatus = 200;
  std::string mBody = "ok";
  /** More header lines. */
  std::string mFields;
  bool mCrashes = false;
  /** Closes the connection without an answer. */
  bool mLosesAnswer = false;
};

class server;
using run_handler = std::function<run_result(server&, const message&)>;

/** A sound server of the platform: slots, a short queue, heartbeats, an id for
 * each start. It can be made to crash and to start again. */
class server
{
public:
  server_options mOptions;
  run_handler mHandler;
  record& mRecord;
  std::vector<std::string> mControls;
  std::mutex mLock;
  std::condition_variable mSlotFree;
  int mRunning = 0;
  int mWaiting = 0;
  std::string mId;
  long mBorn = 0;
  std::uint64_t mSequence = 0;
  std::string mState = "ready";
  time_point mWarmUntil{};
  /** Number of the start; connections of an earlier start are closed. */
  std::atomic<int> mStart{ 0 };
  std::atomic<bool> mIsUp{ false };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mBeats{ true };
  int mListener = -1;
  std::set<int> mOpen;
  std::vector<std::thread> mThreads;
  std::atomic<int> mActive{ 0 };

  server(server_options aOptions,
         std::vector<std::string> aControls,
         run_handler aHandler,
         record& aRecord)
    : mOptions(std::move(aOptions))
    , mHandler(std::move(aHandler))
    , mRecord(aRecord)
    , mControls(std::move(aControls))
  {
    Begin(ms(0));
    mThreads.emplace_back([this] { Accept(); });
    mThreads.emplace_back([this] { Beat(); });
  }

  ~server()
  {
    mIsStopping = true;
    End();
    for (std::thread& one : mThreads) {
      one.join();
    }
    while (mActive > 0) {
      std::this_thread::sleep_for(ms(5));
    }
  }

  /** Starts under a new id, cold for a time. */
  void Begin(ms aCold)
  {
    std::lock_guard guard(mLock);
    static std::atomic<int> sNumber{ 0 };
    mId = "i-" + std::to_string(getpid()) + "-" + std::to_string(++sNumber);
    mBorn = std::chrono::duration_cast<ms>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    mSequence = 0;
    mState = "ready";
    mWarmUntil = steady::now() + aCold;
    int socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in endpoint = connection::Endpoint(mOptions.mAddress);
    if (bind(socket_,
             reinterpret_cast<sockaddr*>(&endpoint),
             sizeof endpoint) != 0 ||
        listen(socket_, 512) != 0) {
      mRecord.Say("cannot listen on " + mOptions.mAddress);
    }
    mListener = socket_;
    ++mStart;
    mIsUp = true;
  }

  /** Crashes: all connections and the listener close. */
  void End()
  {
    std::lock_guard guard(mLock);
    mIsUp = false;
    ++mStart;
    if (mListener >= 0) {
      shutdown(mListener, SHUT_RDWR);
      close(mListener);
      mListener = -1;
    }
    for (int descriptor : mOpen) {
      linger off{ 1, 0 };
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &off, sizeof off);
      shutdown(descriptor, SHUT_RDWR);
    }
    mSlotFree.notify_all();
  }

  /** Crashes and is back after a time. */
  void Crash(ms aDown, ms aCold)
  {
    End();
    ++mActive;
    std::thread([this, aDown, aCold] {
      auto until = steady::now() + aDown;
      while (steady::now() < until && !mIsStopping) {
        std::this_thread::sleep_for(ms(10));
      }
      if (!mIsStopping) {
        Begin(aCold);
      }
      --mActive;
    }).detach();
  }

  std::string Id()
  {
    std::lock_guard guard(mLock);
    return mId;
  }

  long WarmupLeft()
  {
    std::lock_guard guard(mLock);
    auto left =
      std::chrono::duration_cast<ms>(mWarmUntil - steady::now()).count();
    return std::max<long>(0, left);
  }

private:
  void Accept()
  {
    while (!mIsStopping) {
      int listener = -1;
      {
        std::lock_guard guard(mLock);
        listener = mIsUp ? mListener : -1;
      }
      if (listener < 0) {
        std::this_thread::sleep_for(ms(5));
        continue;
      }
      pollfd waiter{ listener, POLLIN, 0 };
      if (poll(&waiter, 1, 20) != 1) {
        continue;
      }
      int peer = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) {
        continue;
      }
      int on = 1;
      setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      int start = mStart;
      ++mActive;
      std::thread([this, peer, start] {
        Serve(peer, start);
        --mActive;
      }).detach();
    }
  }

  static std::string Answer(int aStatus,
                            const std::string& aFields,
                            const std::string& aBody)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  bool TakeSlot(int aStart, time_point aUntil)
  {
    std::unique_lock guard(mLock);
    if (mRunning >= mOptions.mSlots && mWaiting >= mOptions.mQueue) {
      return false;
    }
    ++mWaiting;
    bool isFree = mSlotFree.wait_until(guard, aUntil, [&] {
      return mRunning < mOptions.mSlots || mStart != aStart;
    });
    --mWaiting;
    if (!isFree || mStart != aStart) {
      return false;
    }
    ++mRunning;
    return true;
  }

  void Serve(int aPeer, int aStart)
  {
    {
      std::lock_guard guard(mLock);
      if (mStart != aStart) {
        close(aPeer);
        return;
      }
      mOpen.insert(aPeer);
    }
    {
      connection peer(dup(aPeer));
      while (mStart == aStart && !mIsStopping) {
        auto request = peer.Read(steady::now() + std::chrono::seconds(30));
        if (!request || mStart != aStart) {
          break;
        }
        if (!Handle(peer, *request, aStart)) {
          break;
        }
      }
    }
    std::lock_guard guard(mLock);
    mOpen.erase(aPeer);
    close(aPeer);
  }

  bool Handle(connection& aPeer, const message& aRequest, int aStart)
  {
    std::string id = aRequest.Field("x-request-id");
    std::string common = "X-Request-Id: " + id + "\r\nX-Instance-Id: " + Id() +
                         "\r\nX-Server-Load: " + std::to_string(mRunning) +
                         "," + std::to_string(mWaiting) + "," +
                         std::to_string(mOptions.mSlots) + "\r\n";
    if (aRequest.Path() == "/health") {
      std::string warm =
        "X-Warmup-Ms: " + std::to_string(WarmupLeft()) + "\r\n";
      return aPeer.Write(Answer(200, common + warm, ""));
    }
    std::string expected = aRequest.Field("x-expect-instance");
    if (!expected.empty() && expected != Id()) {
      return aPeer.Write(Answer(421, common + "X-Not-Executed: 1\r\n", ""));
    }
    int deadline = std::atoi(aRequest.Field("x-deadline-ms").c_str());
    if (!TakeSlot(aStart, steady::now() + ms(deadline > 0 ? deadline : 1000))) {
      return mStart == aStart &&
             aPeer.Write(Answer(503, common + "X-Not-Executed: 1\r\n", ""));
    }
    run_result result = mHandler(*this, aRequest);
    if (!result.mCrashes && !result.mLosesAnswer) {
      std::this_thread::sleep_for(mOptions.mWork);
    }
    {
      std::lock_guard guard(mLock);
      --mRunning;
    }
    mSlotFree.notify_one();
    if (result.mCrashes || result.mLosesAnswer || mStart != aStart) {
      return false;
    }
    std::string stamp = "X-Server-Stamp: " + Id() + "." + id + "\r\n";
    return aPeer.Write(
      Answer(result.mStatus, common + stamp + result.mFields, result.mBody));
  }

  void Beat()
  {
    std::string own;
    std::size_t next = static_cast<std::size_t>(rand());
    while (!mIsStopping) {
      bool isAcknowledged = false;
      for (int tries = 0; tries < 4 && mIsUp && mBeats && !isAcknowledged;
           ++tries) {
        std::string target =
          own.empty() ? mControls[next++ % mControls.size()] : own;
        std::ostringstream body;
        std::string id;
        {
          std::lock_guard guard(mLock);
          auto left =
            std::chrono::duration_cast<ms>(mWarmUntil - steady::now()).count();
          id = mId;
          body << R"({"service":")" << mOptions.mService << R"(","address":")"
               << mOptions.mAddress << R"(","zone":")" << mOptions.mZone
               << R"(","version":"v1","slots":)" << mOptions.mSlots
               << R"(,"state":")" << mState << R"(","warmup_left_ms":)"
               << std::max<long>(0, left) << R"(,"seq":)" << ++mSequence
               << R"(,"born":)" << mBorn << "}";
        }
        message answer =
          Call(target, "POST", "/api/Instances.Heartbeat/" + id, body.str());
        isAcknowledged = answer.Status() == 200;
        own.clear();
        std::size_t at = answer.mBody.find("heartbeat_addr\":\"");
        if (isAcknowledged && at != std::string::npos) {
          std::size_t start = at + 17;
          own =
            answer.mBody.substr(start, answer.mBody.find('"', start) - start);
        }
      }
      int start = mStart;
      for (int waited = 0; waited < 1200 && !mIsStopping && start == mStart;
           waited += 20) {
        std::this_thread::sleep_for(ms(20));
      }
    }
  }
};

}
