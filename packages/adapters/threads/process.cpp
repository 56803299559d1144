/** @file process.cpp What both programs do around their control loop. */

#include "threads/process.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

namespace jacinthpond {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fail(ErrorKind::NotFound, Path + ": cannot be read");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::optional<Settings> loadSettings(const std::string &Path,
                                     SettingOwner Program) {
  const Outcome<Settings> Read = outcomeOf([&]() -> Result<Settings> {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    return parseSettings(Text, Path, Program);
  });
  if (!Read.Value)
    std::cerr << Read.Why.Detail << "\n";
  return Read.Value;
}

void keepHeapSmall() {
  constexpr int GiveBackAbove = 128 << 10;
  constexpr int GrowBy = 32 << 10;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, GiveBackAbove);
  mallopt(M_TOP_PAD, GrowBy);
}

void blockStopSignals() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes its end must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

void exitCutOff() {
  std::cerr.flush();
  std::_Exit(ExitCutOff);
}

uint64_t randomIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<uint64_t> Any(1, UINT64_MAX >> 1U);
  return Any(Source);
}

void announceReady(
    const std::vector<std::pair<std::string, std::string>> &Addresses) {
  nlohmann::json Line = {{"ready", true}};
  for (const auto &[Name, At] : Addresses)
    Line[Name] = At;
  std::cout << Line.dump() << std::endl;
}

} // namespace jacinthpond
