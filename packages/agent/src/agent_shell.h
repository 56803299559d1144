/** @file agent_shell.h The agent program: threads around its decisions. */

#ifndef JACINTHPOND_AGENT_AGENT_SHELL_H
#define JACINTHPOND_AGENT_AGENT_SHELL_H

#include "attempts/agent_func.h"
#include "clock/runtime_clock.h"
#include "engine_port.h"
#include "metrics/traffic_metrics.h"
#include "platform_port.h"
#include "service_port.h"
#include "threads/control_loop.h"
#include "threads/pause_watch.h"
#include "websocket/peer_links.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace httplib {
class ThreadPool;
} // namespace httplib

namespace jacinthpond {

/** What an agent stands beside; null where the host has none. */
struct BackEnds {
  EnginePort *Engine = nullptr;   ///< Model engine.
  ServicePort *Service = nullptr; ///< Plain service.
  OriginPort *Origin = nullptr;   ///< Origin of weights.
};

/** State, control thread, links and back end threads of one agent. */
class AgentShell {
public:
  /**
   * Sets up; nothing runs yet.
   * @param Config Settings of the process.
   * @param Beside The back ends; they outlive the shell.
   */
  AgentShell(const Settings &Config, const BackEnds &Beside);
  /** Ends all threads. */
  ~AgentShell();
  AgentShell(const AgentShell &) = delete;
  AgentShell &operator=(const AgentShell &) = delete;

  /**
   * Listens for peers and starts the threads.
   * @return The peer address in use; empty when it cannot be had.
   */
  std::string start();

  /**
   * Reads the state on the control thread.
   * @param Look Gets the state and the time.
   */
  void inspect(const std::function<void(const AgentState &, TimePoint)> &Look);

  /**
   * Gives the histograms of waiting times.
   * @return The histograms.
   */
  TrafficMetrics &timings() { return Timings; }

  /**
   * Ends gracefully: refuses new work, waits for that in progress.
   * @return False when the time limit cut off work.
   */
  bool drain();

private:
  void post(std::function<void(TimePoint, Effects &)> Work);
  void perform(Effects Todo);
  Result<void> refuseAfterPause(TimePoint Decided) const;
  void runModel(const EngineRequest &Request, TimePoint Decided);
  void runService(const ServiceCall &Call, TimePoint Decided);
  void fetchChunk(const ChunkRef &Chunk);
  void readChunkList(const ChunkRef &Version);
  void readStaged(const std::vector<ChunkRef> &Chunks);
  void stageChunk(const StageChunk &Todo);
  void sendStaged(const SendStaged &Todo);
  ChunkBytes readStagedChunk(const ChunkRef &Chunk);
  void noteSpoilt(const Digest &Chunk);
  Result<void> prepareChunk(const ChunkRef &Chunk, const ChunkBytes &Bytes);
  Result<void> confirmStaged(const LoadOrder &Order);
  void takeChunk(LinkId Link, ChunkData Data);
  void loadWeights(const LoadWeights &Load, uint64_t Before);
  void watchBackEnd();
  bool cancelled(const AttemptId &Which);
  void noteStart(const AttemptId &Which);

  RuntimeClock Clock;
  ControlLoop Loop;
  PauseWatch Pauses;
  AgentState State; ///< Belongs to the control thread.
  BackEnds Beside;
  TrafficMetrics Timings;
  std::atomic<bool> Ending{false};
  std::mutex WatchGuard;            ///< Guards OrdersEnded.
  std::condition_variable WatchNow; ///< A load order ended.
  uint64_t OrdersEnded = 0;         ///< Load orders that ended.
  std::mutex StagedGuard;           ///< Guards RecentlyRead.
  std::mutex LoadGuard; ///< No chunk is staged between check and load.
  std::deque<std::pair<Digest, ChunkBytes>> RecentlyRead; ///< Oldest first.
  std::mutex CancelGuard;                                 ///< Guards Cancelled.
  std::set<AttemptId> Cancelled;                ///< Runs that are to end early.
  std::unique_ptr<httplib::ThreadPool> Runners; ///< Back end calls.
  std::unique_ptr<httplib::ThreadPool> Fetchers; ///< Weights.
  PeerLinks Links;
  std::thread Control;
  std::thread Watcher;
};

} // namespace jacinthpond

#endif
