#pragma once

#include "tests/integration/test_system.h"

#include <string>

namespace test {

/**
 * Hosts that find each other by seeds, three control hosts and one entry host.
 * Each has an address of its own, since all control hosts listen on the same
 * port.
 */
class seeded_system
{
  test_system mSystem;
  std::string mNetwork;

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
  [[nodiscard]] std::string AllSeeds() const;

  void WriteControl(int aNumber, const std::string& aSeeds, bool aIsFirstStart);
  void WriteEntry(const std::string& aSeeds);
  void StartControlHosts(const std::string& aSeeds, bool aIsFirstStart);
  /** Puts a template through one control host; returns the status. */
  [[nodiscard]] unsigned Put(int aHost, const std::string& aName) const;
  /** True if the entry host lists itself, which takes a stream and a state. */
  [[nodiscard]] bool EntryHostListsItself() const;
};

}
