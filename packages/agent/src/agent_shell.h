/** @file agent_shell.h Runtime of an agent: threads, links, back end calls. */

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

/** The back ends of one agent; null where its host has none. */
struct BackEnds {
  EnginePort *Engine = nullptr;   ///< Model engine.
  ServicePort *Service = nullptr; ///< Plain service.
  OriginPort *Origin = nullptr;   ///< Origin of weights.
};

/**
 * Runtime of one agent. The control thread feeds events into the agent's state
 * and performs the effects that follow; calls that block run on other threads.
 */
class AgentShell {
public:
  /**
   * Creates the state; no thread runs before start().
   * @param Config Settings of the process.
   * @param Ports The back ends; they must outlive the shell.
   */
  AgentShell(const Settings &Config, const BackEnds &Ports);
  /** Stops and joins all threads. */
  ~AgentShell();
  AgentShell(const AgentShell &) = delete;
  AgentShell &operator=(const AgentShell &) = delete;

  /**
   * Listens for peers and starts the threads.
   * @return The peer address in use; empty when listening failed.
   */
  std::string start();

  /**
   * Runs a function on the control thread and waits until it returns.
   * @param Visit Gets the state and the time.
   */
  void inspect(const std::function<void(const AgentState &, TimePoint)> &Visit);

  /**
   * Histograms of waiting times, by workspace and class.
   * @return The histograms, which may be read from any thread.
   */
  TrafficMetrics &timings() { return Timings; }

  /**
   * Shuts down gracefully: refuses new attempts and waits for open ones, up to
   * the shutdown time of the settings.
   * @return False when open attempts were cut off.
   */
  bool drain();

private:
  /** Runs a function on the control thread and performs its effects. */
  void post(std::function<void(TimePoint, Effects &)> Work);
  /** Carries out effects, those that block on other threads. */
  void perform(Effects Todo);
  /** Fails when the process was paused since a back end call was decided. */
  Result<void> failAfterPause(TimePoint Decided) const;
  /** Runs a request in the model engine and posts its tokens and its end. */
  void runModel(const EngineRequest &Request, TimePoint Decided);
  /** Calls the plain service and posts its answer. */
  void runService(const ServiceCall &Call, TimePoint Decided);
  /** Fetches a chunk from the origin and posts it with its digest, unless the
   * fetches of its round were cancelled. */
  void fetchChunk(const ChunkRef &Chunk, uint64_t Round);
  /** Reads the chunk list of a version from the origin and posts it. */
  void readChunkList(const ChunkRef &Version);
  /** Reads a slot of the engine. */
  SlotRead readSlot(const ChunkRef &Slot);
  /** Posts what was read from a slot, with or without its bytes. */
  void reportSlot(SlotRead Read, bool WithBytes);
  /** Reads slots and posts what they contain; stops early when another version
   * is staged. */
  void reportStagedChunks(const std::vector<ChunkRef> &Chunks);
  /** Stages a chunk in the engine and posts whether that succeeded. */
  void stageChunk(const StageChunk &Todo);
  /** Sends a part of a staged chunk to a peer. */
  void sendStaged(const SendStagedChunk &Todo);
  /** Reads back a staged chunk; null when the slot has other content, which is
   * posted, or is unreadable. */
  ChunkBytes readVerifiedChunk(const ChunkRef &Chunk);
  /** Stages the chunks of a load order, or verifies all that are staged and
   * posts the slots with other content. */
  Result<void> prepareChunks(const LoadWeights &Load);
  /** Verifies after a load order that the staged set is the one ordered. */
  Result<void> confirmStaged(const LoadOrder &Order);
  /** Posts a chunk, or a part of one, that a peer has sent. */
  void receiveChunkData(LinkId Link, ChunkData Data);
  /** Has the engine load a set and posts the result. */
  void loadWeights(const LoadWeights &Load, uint64_t PausesBefore);
  /** Loop of the poll thread: reads the back end's state and posts it. */
  void pollBackEnd();
  /** Whether an attempt that runs in the engine was cancelled. */
  bool isCancelled(const AttemptId &Which);
  /** Records how long an attempt was queued before its back end call. */
  void recordQueueTime(const AttemptId &Which);

  RuntimeClock Clock;
  ControlLoop Loop;
  PauseWatch Pauses;
  AgentState State; ///< Modified by the control thread only.
  BackEnds Ports;
  TrafficMetrics Timings;
  std::atomic<bool> Ending{false};
  std::mutex PollGuard;            ///< Guards OrdersEnded.
  std::condition_variable PollNow; ///< Signalled when a load order ends.
  uint64_t OrdersEnded = 0;        ///< Number of load orders that ended.
  std::mutex StagedGuard;          ///< Guards RecentlyRead.
  /** Held from the verification of the staged chunks before a load order to the
   * one after it, so that no chunk is staged in between. */
  std::mutex LoadGuard;
  std::deque<std::pair<Digest, ChunkBytes>>
      RecentlyRead;                    ///< Staged chunks, oldest first.
  std::mutex CancelGuard;              ///< Guards Cancelled.
  std::set<AttemptId> Cancelled;       ///< Runs that must stop.
  std::atomic<uint64_t> FetchRound{0}; ///< How often fetches were cancelled.
  std::unique_ptr<httplib::ThreadPool> Runners; ///< Threads for back end calls.
  std::unique_ptr<httplib::ThreadPool> Fetchers; ///< Threads for weights.
  PeerLinks Links;
  std::thread ControlThread;
  std::thread PollThread;
};

} // namespace jacinthpond

#endif
