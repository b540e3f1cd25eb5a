#pragma once

#include "tests/integration/test_system.h"

#include <string>
#include <vector>

namespace test {

/**
 * Hosts that find each other by seeds, control hosts and one entry host. Each
 * has an address of its own, since all control hosts listen on the same port.
 * Control hosts are numbered from 1; a later one may have any number below the
 * entry host's.
 */
class seeded_system
{
  test_system mSystem;
  std::string mNetwork;
  int mFirstControlHosts;
  std::string mExtraEntrySettings;

  [[nodiscard]] std::string Ip(int aNumber) const;

public:
  explicit seeded_system(const system_options& aOptions);

  test_system& System() { return mSystem; }
  [[nodiscard]] std::string Control(int aNumber) const;
  [[nodiscard]] std::string Operators(int aNumber) const;
  /** Where the platform's operators and servers connect. */
  [[nodiscard]] std::string Platform(int aNumber) const;
  /** Where the platform's clients connect to the entry host. */
  [[nodiscard]] std::string Clients() const;
  /** An address of a backend server. */
  [[nodiscard]] std::string Server(int aNumber) const;
  [[nodiscard]] std::string Callers() const;
  /** The control hosts of the first start. */
  [[nodiscard]] std::vector<int> FirstControlHosts() const;
  [[nodiscard]] std::string Seeds(const std::vector<int>& aNumbers) const;
  [[nodiscard]] std::string AllSeeds() const;

  void WriteControl(int aNumber, const std::string& aSeeds, bool aIsFirstStart);
  /** `aExtra` are lines of the section `[entry]`. */
  void WriteEntry(const std::string& aSeeds, const std::string& aExtra = "");
  void StartControlHosts(const std::string& aSeeds, bool aIsFirstStart);
  /** Writes the settings of a control host and starts it. */
  void StartControlHost(int aNumber,
                        const std::string& aSeeds,
                        bool aIsFirstStart);
  /** Kills a control host and deletes its data folder. */
  void LoseControlHost(int aNumber);
  /** The leader that one of these control hosts names, or 0. */
  [[nodiscard]] int Leader(const std::vector<int>& aNumbers) const;
  /** Puts a template through one control host; returns the status. */
  [[nodiscard]] unsigned Put(int aHost, const std::string& aName) const;
  /** True if the entry host lists itself, which takes a stream and a state. */
  [[nodiscard]] bool EntryHostListsItself() const;
};

}
