/** @file agent_shell.cpp Runtime of an agent: threads, links, back end calls.
 */

#include "agent_shell.h"

#include "base/hash_func.h"
#include "base/overloaded.h"
#include "log/log.h"
#include "membership/departure_func.h"
#include "settings/resource_shares_func.h"
#include "settings/settings_func.h"
#include "threads/process.h"
#include "weights/transfer_func.h"
#include "weights/upload_func.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Period of the control thread. */
constexpr Millis TickPeriod{50};
/** Time between two reads of the back end's state. */
constexpr Millis BackEndPollPeriod{200};
/** Threads that fetch and load weights. */
constexpr size_t FetchThreadCount = 5;
/** Staged chunks kept in memory while peers fetch their parts: two peers, two
 * chunks each. */
constexpr size_t MaxRecentlyRead = 4;
/** Period of the control thread during uploads, so that parts are sent at an
 * even rate. */
constexpr Millis UploadTickPeriod{10};
/** Consecutive staged chunks with other content after which the rest is not
 * read: another version is staged. A few may just have been damaged. */
constexpr size_t MaxStagedMismatches = 4;
/** Longest time to verify the staged chunks before an order. A chunk that was
 * damaged less than 3 s before it is loaded is not held against the agent. */
constexpr Millis MaxVerifyTime{1500};
/** Longest time to verify the staged chunks after an order: as long as an order
 * may take. */
constexpr Millis MaxConfirmTime{15000};
/** Wait before a failed read of a staged chunk is retried. */
constexpr Millis ConfirmRetryDelay{200};
/** Longest wait at shutdown for the last messages to be sent. */
constexpr Millis FlushTimeout{1000};
/** Part of the grace time that is reserved for the last messages and for
 * joining the threads, before the process is killed. */
constexpr Millis ShutdownMargin = FlushTimeout + Millis(600);
/** Time between two checks for open attempts while draining. */
constexpr Millis DrainPollPeriod{20};

/** Gives the reference of a chunk of an ordered set. */
ChunkRef orderedChunk(const LoadOrder &Order, size_t n) {
  return {Order.Model, Order.Version, n, Order.Chunks[n], {}};
}

} // namespace

AgentShell::AgentShell(const Settings &Config, const BackEnds &Ports)
    : Loop(Clock), Pauses(Clock.now(), Millis(Config.PauseGapMillis)),
      State(makeAgent(Config, Incarnation{randomIncarnation()}, Clock.now())),
      Ports(Ports), Runners(std::make_unique<httplib::ThreadPool>(
                        isOnStorePlatform(Config)
                            ? 1 // Requests do not pass through the agent.
                            : static_cast<size_t>(Config.WarmLimit))),
      Fetchers(std::make_unique<httplib::ThreadPool>(FetchThreadCount)),
      Links({[this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 handleAgentLinkOpened(State, Link, Now, Out);
               });
             },
             [this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &) {
                 handleAgentLinkClosed(State, Link, Now);
               });
             },
             [this](LinkId Link, Message m) {
               if (auto *Data = std::get_if<ChunkData>(&m)) {
                 receiveChunkData(Link, std::move(*Data));
                 return;
               }
               post([this, Link, Kept = std::move(m)](TimePoint Now,
                                                      Effects &Out) {
                 handleAgentMessage(State, Link, Kept, Now, Out);
               });
             },
             [this](LinkId Link, const Failure &Why) {
               // The content of the frame is lost, so the link is opened anew.
               logLine(LogPart::Links, LogLevel::Warn,
                       "Unreadable frame; link dropped: " + Why.Detail);
               Links.close(Link);
               post([this, Link](TimePoint Now, Effects &) {
                 handleAgentLinkClosed(State, Link, Now);
               });
             }},
            resourceShares(Config, descriptorLimit()).UnidentifiedLinks) {}

AgentShell::~AgentShell() {
  Ending = true;
  if (PollThread.joinable())
    PollThread.join();
  Runners->shutdown();
  Fetchers->shutdown();
  Loop.stop();
  if (ControlThread.joinable())
    ControlThread.join();
}

std::string AgentShell::start() {
  const std::string At = Links.listen(State.Config.PeerListen);
  if (At.empty())
    return At;
  ControlThread = std::thread([this] {
    Loop.run(TickPeriod, [this](TimePoint Now) {
      Pauses.recordBeat(Now);
      Effects Out;
      for (const auto &[Link, Peer] : State.Transfer.Peers)
        if (Peer.BacklogBytes > 0)
          setLinkBacklog(State, Link, Links.backlog(Link));
      handleAgentTick(State, Now, Out);
      const bool IsUploading = !State.Transfer.Uploads.empty();
      Loop.setPeriod(IsUploading ? UploadTickPeriod : TickPeriod);
      attachCurrentLoad(State, Out);
      perform(std::move(Out));
    });
  });
  PollThread = std::thread([this] { pollBackEnd(); });
  return At;
}

void AgentShell::post(std::function<void(TimePoint, Effects &)> Work) {
  Loop.post([this, Kept = std::move(Work)](TimePoint Now) {
    Effects Out;
    detectAgentPause(State, Now, Out);
    Kept(Now, Out);
    attachCurrentLoad(State, Out);
    perform(std::move(Out));
  });
}

void AgentShell::perform(Effects Todo) {
  for (Effect &One : Todo)
    std::visit(
        Overloaded{
            [this](const OpenLink &e) { Links.open(e.Link, e.To); },
            [this](const CloseLink &e) { Links.close(e.Link); },
            [this](const SendMessage &e) {
              if (const auto *Frame = std::get_if<AnswerFrame>(&e.Content))
                countAnswerBytes(State, e.Link, Frame->Data.size(),
                                 Clock.now());
              Links.send(e.Link, e.Content);
            },
            [this](const RunModel &e) {
              recordQueueTime(e.Request.Attempt);
              Runners->enqueue([this, Request = e.Request, At = Clock.now()] {
                runModel(Request, At);
              });
            },
            [this](const RunService &e) {
              recordQueueTime(e.Call.Attempt);
              Runners->enqueue([this, Call = e.Call, At = Clock.now()] {
                runService(Call, At);
              });
            },
            [this](const CancelRun &e) {
              const std::lock_guard Lock(CancelGuard);
              Cancelled.insert(e.Attempt);
            },
            [this](const FetchFromOrigin &e) {
              Fetchers->enqueue(
                  [this, Chunk = e.Chunk, Round = FetchRound.load()] {
                    fetchChunk(Chunk, Round);
                  });
            },
            [this](const CancelOriginFetches &) {
              ++FetchRound;
              if (Ports.Origin != nullptr)
                Ports.Origin->cancelFetches();
            },
            [this](const ReadChunkList &e) {
              Fetchers->enqueue(
                  [this, Version = e.Version] { readChunkList(Version); });
            },
            [this](const FindStagedChunks &e) {
              Fetchers->enqueue(
                  [this, Chunks = e.Chunks] { reportStagedChunks(Chunks); });
            },
            [this](const ReadSlot &e) {
              Fetchers->enqueue([this, Slot = e.Slot] {
                reportSlot(readSlot(Slot), /*WithBytes=*/true);
              });
            },
            [this](const StageChunk &e) {
              Fetchers->enqueue([this, Todo = e] { stageChunk(Todo); });
            },
            [this](const SendStagedChunk &e) {
              Fetchers->enqueue([this, Todo = e] { sendStaged(Todo); });
            },
            [this](const LoadWeights &e) {
              Fetchers->enqueue(
                  [this, Load = e, PausesBefore = Pauses.pauses(Clock.now())] {
                    loadWeights(Load, PausesBefore);
                  });
            },
            [](const LogNote &e) { logLine(e.Part, e.Level, e.Text); },
            [](const auto &) {
              // Other effects occur only in entries.
            }},
        One);
}

void AgentShell::recordQueueTime(const AttemptId &Which) {
  const auto it = State.Attempts.find(Which);
  if (it == State.Attempts.end())
    return;
  const Attempt &One = it->second;
  Timings.observe(Timing::Queued, State.View.InForce.get(),
                  One.StartMessage.Workspace, One.StartMessage.Class,
                  Clock.now() - One.ArrivedAt);
  logLine(LogPart::Requests, LogLevel::Debug,
          "Request " + One.StartMessage.Request.Value + ": attempt " +
              Which.Value + " goes to the back end.");
}

bool AgentShell::isCancelled(const AttemptId &Which) {
  const std::lock_guard Lock(CancelGuard);
  return Cancelled.contains(Which);
}

Result<void> AgentShell::failAfterPause(TimePoint Decided) const {
  // If the process was suspended between the decision and the call, the
  // decision is out of date: the domain may have been taken out meanwhile.
  if (Clock.now() - Decided > State.Fleet.Times.PauseGap)
    return fail(ErrorKind::Unreachable, "paused before the call");
  return {};
}

void AgentShell::runModel(const EngineRequest &Request, TimePoint Decided) {
  const AttemptId Which = Request.Attempt;
  const auto End = outcomeOf([&]() -> Result<EngineEnd> {
    BOOST_LEAF_CHECK(failAfterPause(Decided));
    return Ports.Engine->generate(
        Request,
        [&](const Digest &Weights) {
          post([this, Which, Weights](TimePoint, Effects &Out) {
            handleEngineStart(State, Which, Weights, Out);
          });
          return !isCancelled(Which);
        },
        [&](std::string Token) {
          post([this, Which, Token = std::move(Token)](TimePoint Now,
                                                       Effects &Out) {
            handleEngineToken(State, Which, Token, Now, Out);
          });
          return !isCancelled(Which);
        });
  });
  {
    const std::lock_guard Lock(CancelGuard);
    Cancelled.erase(Which);
  }
  post([this, Which, End](TimePoint Now, Effects &Out) {
    handleEngineEnd(State, Which, End, Now, Out);
  });
}

void AgentShell::runService(const ServiceCall &Call, TimePoint Decided) {
  const auto Answer = outcomeOf([&]() -> Result<ServiceAnswer> {
    BOOST_LEAF_CHECK(failAfterPause(Decided));
    return Ports.Service->call(Call);
  });
  post([this, Which = Call.Attempt, Answer](TimePoint Now, Effects &Out) {
    handleServiceAnswer(State, Which, Answer, Now, Out);
  });
}

void AgentShell::readChunkList(const ChunkRef &Version) {
  Outcome<ChunkList> Read;
  if (Ports.Origin != nullptr)
    Read = outcomeOf([&] { return Ports.Origin->list(Version); });
  post([this, Version, Read](TimePoint Now, Effects &Out) {
    handleOriginChunkList(State, Version, Read, Now, Out);
  });
}

SlotRead AgentShell::readSlot(const ChunkRef &Slot) {
  auto Read = outcomeOf([&] { return Ports.Engine->readStagedContent(Slot); });
  const bool IsEmpty = !Read.Value && Read.Why.Kind == ErrorKind::NotFound;
  ChunkBytes Bytes;
  if (Read.Value)
    Bytes = std::make_shared<const std::string>(std::move(*Read.Value));
  return {Slot, Bytes != nullptr || IsEmpty, digestChunk(std::move(Bytes))};
}

void AgentShell::reportSlot(SlotRead Read, bool WithBytes) {
  if (!WithBytes)
    Read.Found.Bytes.reset();
  post([this, Read = std::move(Read)](TimePoint Now, Effects &Out) {
    handleSlotRead(State, Read, Now, Out);
  });
}

void AgentShell::reportStagedChunks(const std::vector<ChunkRef> &Chunks) {
  std::set<Digest> Wanted;
  std::ranges::transform(Chunks, std::inserter(Wanted, Wanted.end()),
                         &ChunkRef::Content);
  size_t Mismatches = 0;
  for (const ChunkRef &Chunk : Chunks) {
    SlotRead Read = readSlot(Chunk);
    // After several mismatches another version, or none, is staged.
    Mismatches = Wanted.contains(Read.Found.Actual) ? 0 : Mismatches + 1;
    if (Mismatches > MaxStagedMismatches || Ending)
      return;
    reportSlot(std::move(Read), /*WithBytes=*/false);
  }
}

void AgentShell::stageChunk(const StageChunk &Todo) {
  const auto Done = outcomeOf([&]() -> Result<bool> {
    const std::lock_guard Lock(LoadGuard);
    BOOST_LEAF_CHECK(Ports.Engine->stage(Todo.Chunk, *Todo.Bytes));
    return true;
  });
  post([this, Chunk = Todo.Chunk,
        Staged = Done.Value.has_value()](TimePoint Now, Effects &Out) {
    handleStagedChunk(State, Chunk, Staged, Now, Out);
  });
}

void AgentShell::sendStaged(const SendStagedChunk &Todo) {
  ChunkData Data;
  Data.Chunk = Todo.Chunk.Content;
  // A message without data tells the peer to ask another agent.
  if (const ChunkBytes Whole = readVerifiedChunk(Todo.Chunk))
    copyChunkPart(*Whole, Todo.Offset, Todo.Length, Data);
  Links.send(Todo.Link, Data);
}

// The chunk is verified because it may have been damaged since it was staged,
// and kept in memory because peers ask for its parts one after the other.
ChunkBytes AgentShell::readVerifiedChunk(const ChunkRef &Chunk) {
  const std::lock_guard Lock(StagedGuard);
  const auto it = std::ranges::find(RecentlyRead, Chunk.Content,
                                    &std::pair<Digest, ChunkBytes>::first);
  if (it != RecentlyRead.end())
    return it->second;
  const SlotRead Read = readSlot(Chunk);
  if (Read.Found.Actual != Chunk.Content) {
    reportSlot(Read, /*WithBytes=*/false);
    return nullptr;
  }
  RecentlyRead.emplace_back(Chunk.Content, Read.Found.Bytes);
  if (RecentlyRead.size() > MaxRecentlyRead)
    RecentlyRead.pop_front();
  return Read.Found.Bytes;
}

Result<void> AgentShell::prepareChunks(const LoadWeights &Load) {
  const TimePoint Limit = Clock.now() + MaxVerifyTime;
  std::vector<size_t> Wrong;
  for (size_t n = 0; n < Load.Chunks.size(); ++n) {
    const ChunkRef Chunk = orderedChunk(Load.Order, n);
    if (Load.Chunks[n] != nullptr) {
      BOOST_LEAF_CHECK(Ports.Engine->stage(Chunk, *Load.Chunks[n]));
      continue;
    }
    const SlotRead Read = readSlot(Chunk);
    if (!Read.Answered)
      return fail(ErrorKind::WeightsNotReady,
                  "slot " + std::to_string(n) + " could not be read");
    if (Read.Found.Actual != Chunk.Content) {
      Wrong.push_back(n);
      reportSlot(Read, /*WithBytes=*/false);
    }
    // On an overloaded host the first chunk may be damaged again before the
    // last one is read. The order is retried later with a new verification;
    // such a host could not serve requests anyway.
    if (Clock.now() > Limit)
      return fail(ErrorKind::WeightsNotReady,
                  "verifying the staged chunks took too long");
  }
  if (Wrong.empty())
    return {};
  return fail(ErrorKind::WeightsNotReady,
              std::to_string(Wrong.size()) +
                  " slots have other content, the first one is " +
                  std::to_string(Wrong.front()));
}

Result<void> AgentShell::confirmStaged(const LoadOrder &Order) {
  const TimePoint Limit = Clock.now() + MaxConfirmTime;
  std::optional<size_t> FirstWrong;
  for (size_t n = 0; n < Order.Chunks.size(); ++n) {
    const ChunkRef Chunk = orderedChunk(Order, n);
    SlotRead Read = readSlot(Chunk);
    // An engine that does not answer now may have loaded the staged set all the
    // same, so the read is retried.
    while (!Read.Answered && Clock.now() < Limit && !Ending) {
      std::this_thread::sleep_for(ConfirmRetryDelay);
      Read = readSlot(Chunk);
    }
    if (Read.Found.Actual == Chunk.Content)
      continue;
    FirstWrong = FirstWrong.value_or(n);
    if (!Read.Answered)
      break;
    reportSlot(Read, /*WithBytes=*/false);
  }
  if (!FirstWrong)
    return {};
  return fail(ErrorKind::OutcomeUnknown,
              "staged chunk " + std::to_string(*FirstWrong) +
                  " differs from the ordered one after the order");
}

void AgentShell::fetchChunk(const ChunkRef &Chunk, uint64_t Round) {
  ChunkBytes Bytes;
  if (Ports.Origin != nullptr && Round == FetchRound) {
    auto Read = outcomeOf([&] { return Ports.Origin->fetch(Chunk); });
    if (Read.Value)
      Bytes = std::make_shared<const std::string>(std::move(*Read.Value));
  }
  post([this, Content = Chunk.Content,
        Received = digestChunk(Bytes)](TimePoint Now, Effects &Out) {
    handleOriginChunk(State, Content, Received, Now, Out);
  });
}

void AgentShell::receiveChunkData(LinkId Link, ChunkData Data) {
  if (Data.Bytes.empty() || Data.Bytes.size() < Data.Total) {
    post([this, Link, Kept = std::move(Data)](TimePoint Now, Effects &Out) {
      handlePeerChunkPart(State, Link, Kept, Now, Out);
    });
    return;
  }
  ChunkBytes Bytes;
  if (!Data.Bytes.empty())
    Bytes = std::make_shared<const std::string>(std::move(Data.Bytes));
  // The digest is computed on the network thread, off the control thread.
  post([this, Link, Chunk = std::move(Data.Chunk),
        Received = digestChunk(std::move(Bytes))](TimePoint Now, Effects &Out) {
    handlePeerChunk(State, Link, Chunk, Received, Now, Out);
  });
}

void AgentShell::loadWeights(const LoadWeights &Load, uint64_t PausesBefore) {
  // The engine loads the chunks that are staged when it accepts the order, so
  // no chunk of the next version may be staged between verification and
  // acceptance: it would be loaded unverified. The lock is released once the
  // order is accepted, since the engine may finish long answers before it
  // loads. The lock does not stop a write that timed out and is read late, nor
  // one of another agent. confirmStaged() finds those: if the staged set is
  // still the ordered one afterwards, it was staged when the order was
  // accepted.
  std::unique_lock Lock(LoadGuard);
  const TimePoint Began = Clock.now();
  const auto LogEvent = [&](const char *Event) {
    logLine(LogPart::Weights, LogLevel::Info,
            std::string("event=") + Event + " set=" + Load.Order.Set.Value +
                " ms=" + std::to_string(toMillis(Clock.now() - Began).count()));
  };
  LoadCallbacks Steps;
  Steps.OnAccepted = [&]() -> Result<void> {
    LogEvent("order_taken");
    BOOST_LEAF_CHECK(confirmStaged(Load.Order));
    LogEvent("load_confirmed");
    Lock.unlock();
    return {};
  };
  Steps.VerifyStaged = [&]() -> Result<void> {
    if (!Lock.owns_lock()) // A forced reload takes several orders.
      Lock.lock();
    BOOST_LEAF_CHECK(prepareChunks(Load));
    // After a pause of the process the order may be out of date and another
    // agent may control the host; some engines would still accept it.
    if (Pauses.pauses(Clock.now()) != PausesBefore)
      return fail(ErrorKind::StaleView,
                  "process was paused after the order was decided");
    LogEvent("set_checked");
    return {};
  };
  const auto Done = outcomeOf([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(Ports.Engine->load(Load.Order, Steps));
    return true;
  });
  if (Lock.owns_lock())
    Lock.unlock();
  std::optional<Failure> Why;
  if (!Done.Value)
    Why = Done.Why;
  post([this, Why](TimePoint Now, Effects &Out) {
    handleLoadResult(State, Why, Now, Out);
  });
  {
    const std::lock_guard Lock(PollGuard);
    ++OrdersEnded;
  }
  PollNow.notify_all();
}

void AgentShell::pollBackEnd() {
  while (!Ending) {
    uint64_t Orders = 0;
    {
      const std::lock_guard Lock(PollGuard);
      Orders = OrdersEnded;
    }
    Millis Pause{0};
    if (Ports.Engine != nullptr) {
      const auto Read = outcomeOf([&] { return Ports.Engine->state(); });
      Pause = std::max(Pause, Read.Why.RetryAfter);
      post([this, Read, Orders](TimePoint Now, Effects &Out) {
        handleEngineReport(State, Read, Orders, Now, Out);
      });
    }
    if (Ports.Service != nullptr) {
      const auto Read = outcomeOf([&] { return Ports.Service->ping(); });
      Pause = std::max(Pause, Read.Why.RetryAfter);
      post([this, Read](TimePoint Now, Effects &Out) {
        handleServiceProbe(State, Read, Now, Out);
      });
    }
    for (const TimePoint Until = Clock.now() + Pause;
         Clock.now() < Until && !Ending;)
      std::this_thread::sleep_for(BackEndPollPeriod);
    std::unique_lock Lock(PollGuard);
    PollNow.wait_for(Lock, BackEndPollPeriod,
                     [&] { return OrdersEnded != Orders; });
  }
}

void AgentShell::inspect(
    const std::function<void(const AgentState &, TimePoint)> &Visit) {
  Loop.postAndWait([&](TimePoint Now) { Visit(State, Now); });
}

bool AgentShell::drain() {
  post([this](TimePoint Now, Effects &Out) {
    beginAgentShutdown(State, Now, Out);
  });
  const TimePoint Limit =
      Clock.now() + maxShutdownTime(State.Config, ShutdownMargin);
  size_t Open = 0;
  bool Known = false;
  do {
    std::this_thread::sleep_for(DrainPollPeriod);
    inspect([&](const AgentState &Agent, TimePoint) {
      Open = Agent.Attempts.size();
      Known = isLeavingAcknowledged(Agent.Fleet);
    });
  } while ((Open > 0 || !Known) && Clock.now() < Limit);
  if (Open > 0)
    logLine(LogPart::Main, LogLevel::Error,
            "Shutdown cut off " + std::to_string(Open) + " attempts.");
  Links.closeGracefully(FlushTimeout);
  return Open == 0;
}

} // namespace jacinthpond
