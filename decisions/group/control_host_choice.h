#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace hibiscusspool {

struct control_host
{
  host_id mHost;
  /** Empty while it is not known. */
  failure_domain_id mFailureDomain{};

  auto operator<=>(const control_host&) const = default;
};

/**
 * The control host that serves this daemon's watch stream. Each daemon ranks
 * the control hosts by a rendezvous hash, so that the daemons are spread over
 * all of them, and those of a lost host over all others. Those of the own
 * failure domain come first, since the streams carry most of the control
 * traffic.
 */
class control_host_choice
{
  struct candidate
  {
    std::uint64_t mWeight = 0;
    failure_domain_id mFailureDomain;
    bool mIsOwnDomain = false;
    /** The host is in the list of current hosts. Others are used only while
     * all of those are avoided. */
    bool mIsListed = true;
    /** The host is avoided until then, since it did not serve a stream. */
    steady_time mAvoidUntil;
    milliseconds mAvoidance{ 0 };
    /** The host said that it was cut off from the group; it and, where there is
     * a choice, its failure domain are avoided until then. */
    steady_time mCutOffUntil;
    /** When it may be asked again if no other host is left. */
    steady_time mCutOffRetryAt;
    milliseconds mCutOffRetryDelay{ 0 };
  };

  std::uint64_t mSeed = 0;
  failure_domain_id mOwnDomain;
  std::vector<host_id> mInitialHosts;
  std::map<host_id, candidate> mCandidates;

  void Add(const host_id& aHost);
  /** Hosts with a lower rank are preferred. */
  using rank = std::tuple<steady_time, bool, bool, bool, std::uint64_t>;
  [[nodiscard]] rank RankOf(const candidate& aCandidate,
                            steady_time aNow) const;
  [[nodiscard]] bool IsInCutOffDomain(const candidate& aCandidate,
                                      steady_time aNow) const;

public:
  /** `aHosts` are used until the control hosts are known. `aSeed` differs for
   * each daemon. */
  static control_host_choice Create(const std::vector<host_id>& aHosts,
                                    failure_domain_id aOwnDomain,
                                    std::uint64_t aSeed);

  /** Adds a host to those of the creation. */
  void AddInitial(const host_id& aHost);
  [[nodiscard]] bool IsEmpty() const { return mCandidates.empty(); }
  /** Adds hosts that may be outdated; all others stay. */
  void AddHosts(const std::vector<control_host>& aHosts);
  /** Sets the current hosts; those of the creation stay as a last resort. */
  void SetHosts(const std::vector<control_host>& aHosts);
  /** The host to connect to: the first by rank that is not avoided, else the
   * one that is avoided for the shortest time. */
  [[nodiscard]] host_id Preferred(steady_time aNow) const;
  /** A stream to this host failed; it is avoided for longer each time. */
  void OnFailure(const host_id& aHost, steady_time aNow);
  /** This host said that it is cut off from the group. */
  void OnCutOff(const host_id& aHost, steady_time aNow);
  void OnSuccess(const host_id& aHost);
  /** True if some host neither failed lately nor said lately that it was cut
   * off. */
  [[nodiscard]] bool HasUntried(steady_time aNow) const;
};

}
