#include "controllers/client_controller.h"

#include "core/log_event.h"

namespace hibiscusspool {

namespace {

/** Clients that misbehave do so by the hundred. */
constexpr std::chrono::seconds kLogInterval{ 1 };

void
CallAll(const std::vector<std::function<void()>>& aHooks)
{
  for (const auto& call : aHooks) {
    call();
  }
}

}

std::vector<client_controller::hook>
client_controller::HooksOf(const std::vector<client_id>& aClients) const
{
  std::vector<hook> hooks;
  hooks.reserve(aClients.size());
  for (client_id client : aClients) {
    hooks.push_back(std::bind_front(mEndHooks.at(client), client));
  }
  return hooks;
}

std::vector<client_controller::hook>
client_controller::TakeRoomHooks()
{
  std::vector<hook> hooks;
  if (mIsAwaited) {
    mIsAwaited = false;
    for (const auto& [listener, onRoom] : mRoomHooks) {
      hooks.push_back(onRoom);
    }
  }
  return hooks;
}

void
client_controller::Count(client_limit aLimit, std::size_t aCount)
{
  mClosed[static_cast<std::size_t>(aLimit)] += aCount;
  mUnlogged[static_cast<std::size_t>(aLimit)] += aCount;
}

void
client_controller::Log(steady_time aNow)
{
  closed_counts closed{};
  client_status status;
  {
    std::lock_guard guard(mLock);
    if (mUnlogged == closed || aNow - mLoggedAt < kLogInterval) {
      return;
    }
    mLoggedAt = aNow;
    std::swap(closed, mUnlogged);
    status = { mLoad.Bytes(), mLoad.Count(), mLoad.Limits(), {} };
  }
  log_event line("clients_closed", log_event::severity::Warning);
  for (const auto& row : kNames<client_limit>) {
    line.Add("for_" + std::string(row.mName),
             closed[static_cast<std::size_t>(row.mValue)]);
  }
  line.Add("bytes", status.mBytes)
    .Add("max_bytes", status.mLimits.mMaxBytes)
    .Add("connections", status.mConnections)
    .Add("max_connections", status.mLimits.mMaxConnections);
}

listener_id
client_controller::AddListener(std::size_t aMaxConnections,
                               std::function<void()> aOnRoom)
{
  std::lock_guard guard(mLock);
  ++mLastListener;
  mLoad.AddListener(mLastListener, aMaxConnections);
  mRoomHooks[mLastListener] = std::move(aOnRoom);
  return mLastListener;
}

void
client_controller::RemoveListener(listener_id aListener)
{
  std::lock_guard guard(mLock);
  mLoad.RemoveListener(aListener);
  mRoomHooks.erase(aListener);
}

bool
client_controller::HasRoom(listener_id aListener)
{
  std::lock_guard guard(mLock);
  bool hasRoom = mLoad.HasRoom(aListener);
  mIsAwaited = mIsAwaited || !hasRoom;
  return hasRoom;
}

client_id
client_controller::Open(listener_id aListener,
                        std::function<void(client_id)> aEnd,
                        steady_time aNow)
{
  client_id opened = 0;
  std::vector<hook> ends;
  {
    std::lock_guard guard(mLock);
    opened = mLoad.Open(aListener, aNow);
    mEndHooks[opened] = std::move(aEnd);
    auto chosen = mLoad.ChooseSurplus(aListener);
    Count(client_limit::Connections, chosen.size());
    ends = HooksOf(chosen);
  }
  CallAll(ends);
  if (!ends.empty()) {
    Log(aNow);
  }
  return opened;
}

void
client_controller::Update(client_id aClient,
                          client_phase aPhase,
                          std::uint64_t aBytes,
                          steady_time aNow)
{
  std::vector<hook> ends;
  std::vector<hook> rooms;
  {
    std::lock_guard guard(mLock);
    mLoad.Update(aClient, aPhase, aBytes, aNow);
    auto chosen = mLoad.ChooseExcess(aNow);
    Count(client_limit::Bytes, chosen.size());
    ends = HooksOf(chosen);
    if (aPhase != client_phase::Serving) {
      rooms = TakeRoomHooks();
    }
  }
  CallAll(ends);
  CallAll(rooms);
  if (!ends.empty()) {
    Log(aNow);
  }
}

bool
client_controller::IsClosing(client_id aClient) const
{
  std::lock_guard guard(mLock);
  return mLoad.IsClosing(aClient);
}

void
client_controller::Keep(client_id aClient)
{
  std::lock_guard guard(mLock);
  mLoad.Keep(aClient);
}

void
client_controller::Close(client_id aClient)
{
  std::vector<hook> rooms;
  {
    std::lock_guard guard(mLock);
    mLoad.Close(aClient);
    mEndHooks.erase(aClient);
    rooms = TakeRoomHooks();
  }
  CallAll(rooms);
}

void
client_controller::CountRefusedFields(steady_time aNow)
{
  {
    std::lock_guard guard(mLock);
    Count(client_limit::HeaderFields, 1);
  }
  Log(aNow);
}

client_status
client_controller::Status() const
{
  std::lock_guard guard(mLock);
  return { mLoad.Bytes(), mLoad.Count(), mLoad.Limits(), mClosed };
}

}
