/** @file agent_shell.cpp The agent program: threads around its decisions. */

#include "agent_shell.h"

#include "base/hash_func.h"
#include "base/overloaded.h"
#include "log/log.h"
#include "membership/departure_func.h"
#include "settings/settings_func.h"
#include "threads/process.h"
#include "weights/transfer_func.h"
#include "weights/upload_func.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Time between two looks at the clock. */
constexpr Millis TickPeriod{50};
/** Time between two readings of the back end's state. */
constexpr Millis WatchPeriod{200};
/** Threads that fetch and load weights. */
constexpr size_t FetchThreads = 5;
/** Chunks kept while peers ask for their parts: two peers, two chunks each. */
constexpr size_t MostRecentlyRead = 4;
/** Time between two looks while weights move, so that parts leave evenly. */
constexpr Millis BusyTickPeriod{10};
/** Chunks in a row that lie staged and are not wanted, after which the rest is
 * not looked at; single ones may have been damaged. */
constexpr size_t MaxWrongStaged = 4;
/** Longest look at the staged chunks before an order; well below the 3 s for
 * which a chunk that turned bad is not held against its reader. */
constexpr Millis LongestLook{1500};
/** Longest time in which staged chunks are read again after an order: as long
 * as an order may take. */
constexpr Millis LongestConfirm{15000};
/** Wait before a staged chunk that was not given is read again. */
constexpr Millis ConfirmRepeat{200};
/** Longest wait for peers to take the last messages. */
constexpr Millis FinishWait{1000};
/** Part of the grace time that is kept for ending, before the process is
 * killed: the last messages, and threads that end. */
constexpr Millis EndMargin = FinishWait + Millis(600);
/** Time between two looks at the work in progress while draining. */
constexpr Millis DrainPoll{20};

} // namespace

AgentShell::AgentShell(const Settings &Config, const BackEnds &Beside)
    : Loop(Clock), Pauses(Clock.now(), Millis(Config.PauseGapMillis)),
      State(makeAgent(Config, Incarnation{randomIncarnation()}, Clock.now())),
      Beside(Beside),
      Runners(std::make_unique<httplib::ThreadPool>(
          runsOnStore(Config) ? 1 // Requests go past the agent there.
                              : static_cast<size_t>(Config.WarmLimit))),
      Fetchers(std::make_unique<httplib::ThreadPool>(FetchThreads)),
      Links({[this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &Out) {
                 agentLinkOpened(State, Link, Now, Out);
               });
             },
             [this](LinkId Link) {
               post([this, Link](TimePoint Now, Effects &) {
                 agentLinkClosed(State, Link, Now);
               });
             },
             [this](LinkId Link, Message m) {
               if (auto *Data = std::get_if<ChunkData>(&m)) {
                 takeChunk(Link, std::move(*Data));
                 return;
               }
               post([this, Link, Kept = std::move(m)](TimePoint Now,
                                                      Effects &Out) {
                 agentMessage(State, Link, Kept, Now, Out);
               });
             },
             [this](LinkId Link, const Failure &Why) {
               // What the frame said is lost, so both ends start anew.
               logLine(LogPart::Links, LogLevel::Warn,
                       "Unreadable frame; link dropped: " + Why.Detail);
               Links.close(Link);
               post([this, Link](TimePoint Now, Effects &) {
                 agentLinkClosed(State, Link, Now);
               });
             }}) {}

AgentShell::~AgentShell() {
  Ending = true;
  if (Watcher.joinable())
    Watcher.join();
  Runners->shutdown();
  Fetchers->shutdown();
  Loop.stop();
  if (Control.joinable())
    Control.join();
}

std::string AgentShell::start() {
  const std::string At = Links.listen(State.Config.PeerListen);
  if (At.empty())
    return At;
  Control = std::thread([this] {
    Loop.run(TickPeriod, [this](TimePoint Now) {
      Pauses.beat(Now);
      Effects Out;
      for (const auto &[Link, Peer] : State.Transfer.Peers)
        if (Peer.BacklogBytes > 0)
          linkBacklog(State, Link, Links.backlog(Link));
      agentTick(State, Now, Out);
      const bool Moving = !State.Transfer.Uploads.empty();
      Loop.setPeriod(Moving ? BusyTickPeriod : TickPeriod);
      tellLoad(State, Out);
      perform(std::move(Out));
    });
  });
  Watcher = std::thread([this] { watchBackEnd(); });
  return At;
}

void AgentShell::post(std::function<void(TimePoint, Effects &)> Work) {
  Loop.post([this, Kept = std::move(Work)](TimePoint Now) {
    Effects Out;
    agentNoticePause(State, Now, Out);
    Kept(Now, Out);
    tellLoad(State, Out);
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
                answerSent(State, e.Link, Frame->Data.size(), Clock.now());
              Links.send(e.Link, e.Content);
            },
            [this](const RunModel &e) {
              noteStart(e.Request.Attempt);
              Runners->enqueue([this, Request = e.Request, At = Clock.now()] {
                runModel(Request, At);
              });
            },
            [this](const RunService &e) {
              noteStart(e.Call.Attempt);
              Runners->enqueue([this, Call = e.Call, At = Clock.now()] {
                runService(Call, At);
              });
            },
            [this](const CancelRun &e) {
              const std::lock_guard Lock(CancelGuard);
              Cancelled.insert(e.Attempt);
            },
            [this](const FetchFromOrigin &e) {
              Fetchers->enqueue([this, Chunk = e.Chunk] { fetchChunk(Chunk); });
            },
            [this](const ReadChunkList &e) {
              Fetchers->enqueue(
                  [this, Version = e.Version] { readChunkList(Version); });
            },
            [this](const ReadStaged &e) {
              Fetchers->enqueue(
                  [this, Chunks = e.Chunks] { readStaged(Chunks); });
            },
            [this](const StageChunk &e) {
              Fetchers->enqueue([this, Todo = e] { stageChunk(Todo); });
            },
            [this](const SendStaged &e) {
              Fetchers->enqueue([this, Todo = e] { sendStaged(Todo); });
            },
            [this](const LoadWeights &e) {
              Fetchers->enqueue(
                  [this, Load = e, Before = Pauses.pauses(Clock.now())] {
                    loadWeights(Load, Before);
                  });
            },
            [](const LogNote &e) { logLine(e.Part, e.Level, e.Text); },
            [](const auto &) {
              // Effects of entries; an agent has none of them.
            }},
        One);
}

void AgentShell::noteStart(const AttemptId &Which) {
  const auto it = State.Attempts.find(Which);
  if (it == State.Attempts.end())
    return;
  const Attempt &One = it->second;
  Timings.observe(Timing::Queued, State.View.InForce.get(), One.Asked.Tenant,
                  One.Asked.Class, Clock.now() - One.Arrived);
  logLine(LogPart::Requests, LogLevel::Debug,
          "Request " + One.Asked.Request.Value + ": attempt " + Which.Value +
              " goes to the back end.");
}

bool AgentShell::cancelled(const AttemptId &Which) {
  const std::lock_guard Lock(CancelGuard);
  return Cancelled.contains(Which);
}

Result<void> AgentShell::refuseAfterPause(TimePoint Decided) const {
  // The process may have been stopped between the decision and the call. The
  // decision is then old, the domain may be out: nothing is sent any more.
  if (Clock.now() - Decided > State.Fleet.Times.PauseGap)
    return fail(ErrorKind::Unreachable, "paused before the call");
  return {};
}

void AgentShell::runModel(const EngineRequest &Request, TimePoint Decided) {
  const AttemptId Which = Request.Attempt;
  const auto End = outcomeOf([&]() -> Result<EngineEnd> {
    BOOST_LEAF_CHECK(refuseAfterPause(Decided));
    return Beside.Engine->generate(
        Request,
        [&](const Digest &Weights) {
          post([this, Which, Weights](TimePoint, Effects &Out) {
            engineBegan(State, Which, Weights, Out);
          });
          return !cancelled(Which);
        },
        [&](std::string Token) {
          post([this, Which, Token = std::move(Token)](TimePoint Now,
                                                       Effects &Out) {
            engineToken(State, Which, Token, Now, Out);
          });
          return !cancelled(Which);
        });
  });
  {
    const std::lock_guard Lock(CancelGuard);
    Cancelled.erase(Which);
  }
  post([this, Which, End](TimePoint Now, Effects &Out) {
    engineEnded(State, Which, End, Now, Out);
  });
}

void AgentShell::runService(const ServiceCall &Call, TimePoint Decided) {
  const auto Answer = outcomeOf([&]() -> Result<ServiceAnswer> {
    BOOST_LEAF_CHECK(refuseAfterPause(Decided));
    return Beside.Service->call(Call);
  });
  post([this, Which = Call.Attempt, Answer](TimePoint Now, Effects &Out) {
    serviceAnswered(State, Which, Answer, Now, Out);
  });
}

void AgentShell::readChunkList(const ChunkRef &Version) {
  Outcome<ChunkList> Read;
  if (Beside.Origin != nullptr)
    Read = outcomeOf([&] { return Beside.Origin->list(Version); });
  post([this, Version, Read](TimePoint Now, Effects &Out) {
    chunkListRead(State, Version, Read, Now, Out);
  });
}

void AgentShell::readStaged(const std::vector<ChunkRef> &Chunks) {
  size_t Wrong = 0;
  for (const ChunkRef &Chunk : Chunks) {
    auto Read = outcomeOf([&] { return Beside.Engine->staged(Chunk); });
    ChunkBytes Bytes;
    if (Read.Value)
      Bytes = std::make_shared<const std::string>(std::move(*Read.Value));
    const CheckedChunk Came = checkChunk(Bytes);
    // Another version lies there, or none: the rest would only cost time.
    Wrong = Came.Actual == Chunk.Content ? 0 : Wrong + 1;
    if (Wrong > MaxWrongStaged || Ending)
      return;
    if (Wrong == 0)
      post([this, Chunk](TimePoint Now, Effects &Out) {
        agentStaged(State, Chunk, true, Now, Out);
      });
  }
}

void AgentShell::stageChunk(const StageChunk &Todo) {
  const auto Done = outcomeOf([&]() -> Result<bool> {
    const std::lock_guard Lock(LoadGuard);
    BOOST_LEAF_CHECK(Beside.Engine->stage(Todo.Chunk, *Todo.Bytes));
    return true;
  });
  post([this, Chunk = Todo.Chunk,
        Staged = Done.Value.has_value()](TimePoint Now, Effects &Out) {
    agentStaged(State, Chunk, Staged, Now, Out);
  });
}

void AgentShell::sendStaged(const SendStaged &Todo) {
  ChunkData Data;
  Data.Chunk = Todo.Chunk.Content;
  // An empty answer tells the peer to ask elsewhere.
  if (const ChunkBytes Whole = readStagedChunk(Todo.Chunk))
    takePart(*Whole, Todo.Offset, Todo.Length, Data);
  else
    noteSpoilt(Todo.Chunk.Content);
  Links.send(Todo.Link, Data);
}

/** Reads a staged chunk and checks it, since it may have been damaged. Peers
 * ask for the parts of a chunk one after the other. */
ChunkBytes AgentShell::readStagedChunk(const ChunkRef &Chunk) {
  const std::lock_guard Lock(StagedGuard);
  const auto it = std::ranges::find(RecentlyRead, Chunk.Content,
                                    &std::pair<Digest, ChunkBytes>::first);
  if (it != RecentlyRead.end())
    return it->second;
  auto Read = outcomeOf([&] { return Beside.Engine->staged(Chunk); });
  if (!Read.Value || sha256(*Read.Value) != Chunk.Content)
    return nullptr;
  auto Bytes = std::make_shared<const std::string>(std::move(*Read.Value));
  RecentlyRead.emplace_back(Chunk.Content, Bytes);
  if (RecentlyRead.size() > MostRecentlyRead)
    RecentlyRead.pop_front();
  return Bytes;
}

void AgentShell::noteSpoilt(const Digest &Chunk) {
  post([this, Chunk](TimePoint Now, Effects &Out) {
    agentSpoilt(State, Chunk, Now, Out);
  });
}

/** Looks at one chunk of a set that is about to be loaded: what lies staged is
 * read back, since it may have been damaged since it came. */
Result<void> AgentShell::prepareChunk(const ChunkRef &Chunk,
                                      const ChunkBytes &Bytes) {
  if (Bytes != nullptr)
    return Beside.Engine->stage(Chunk, *Bytes);
  const auto Read = outcomeOf([&] { return Beside.Engine->staged(Chunk); });
  if (Read.Value && sha256(*Read.Value) == Chunk.Content)
    return {};
  noteSpoilt(Chunk.Content);
  return fail(ErrorKind::WeightsNotReady, "a staged chunk is damaged");
}

/** Checks after an order that what lies staged is the set that was ordered. */
Result<void> AgentShell::confirmStaged(const LoadOrder &Order) {
  const TimePoint Limit = Clock.now() + LongestConfirm;
  for (size_t n = 0; n < Order.Chunks.size(); ++n) {
    const ChunkRef Chunk{Order.Model, Order.Version, n, Order.Chunks[n], {}};
    auto Read = outcomeOf([&] { return Beside.Engine->staged(Chunk); });
    // An engine that stands still after the order may have taken it as it was.
    while (!Read.Value && Clock.now() < Limit && !Ending) {
      std::this_thread::sleep_for(ConfirmRepeat);
      Read = outcomeOf([&] { return Beside.Engine->staged(Chunk); });
    }
    if (Read.Value && sha256(*Read.Value) == Chunk.Content)
      continue;
    if (Read.Value)
      noteSpoilt(Chunk.Content);
    return fail(ErrorKind::OutcomeUnknown,
                "chunk " + std::to_string(n) + " differs after the order");
  }
  return {};
}

void AgentShell::fetchChunk(const ChunkRef &Chunk) {
  ChunkBytes Bytes;
  if (Beside.Origin != nullptr) {
    auto Read = outcomeOf([&] { return Beside.Origin->fetch(Chunk); });
    if (Read.Value)
      Bytes = std::make_shared<const std::string>(std::move(*Read.Value));
  }
  post([this, Content = Chunk.Content, Came = checkChunk(Bytes)](TimePoint Now,
                                                                 Effects &Out) {
    originAnswered(State, Content, Came, Now, Out);
  });
}

void AgentShell::takeChunk(LinkId Link, ChunkData Data) {
  if (Data.Bytes.empty() || Data.Bytes.size() < Data.Total) {
    post([this, Link, Kept = std::move(Data)](TimePoint Now, Effects &Out) {
      peerSentPart(State, Link, Kept, Now, Out);
    });
    return;
  }
  ChunkBytes Bytes;
  if (!Data.Bytes.empty())
    Bytes = std::make_shared<const std::string>(std::move(Data.Bytes));
  // Digested here, on the network thread, to keep the control thread free.
  post([this, Link, Chunk = std::move(Data.Chunk),
        Came = checkChunk(std::move(Bytes))](TimePoint Now, Effects &Out) {
    peerSentChunk(State, Link, Chunk, Came, Now, Out);
  });
}

void AgentShell::loadWeights(const LoadWeights &Load, uint64_t Before) {
  // The engine loads what lies staged when it takes the order. A chunk of the
  // next version that came in between would be loaded unchecked. Once the order
  // is taken, chunks come again: the engine may work on long answers first.
  // The lock does not hold back a write that got no answer and is read late,
  // nor one of another agent. Those show after the order: what is staged then,
  // with no write in between, was staged at the order.
  std::unique_lock Lock(LoadGuard);
  const TimePoint Began = Clock.now();
  const auto Tell = [&](const char *Event) {
    logLine(LogPart::Weights, LogLevel::Info,
            std::string("event=") + Event + " set=" + Load.Order.Set.Value +
                " ms=" + std::to_string(toMillis(Clock.now() - Began).count()));
  };
  LoadSteps Steps;
  Steps.Taken = [&]() -> Result<void> {
    Tell("order_taken");
    BOOST_LEAF_CHECK(confirmStaged(Load.Order));
    Tell("load_confirmed");
    Lock.unlock();
    return {};
  };
  Steps.LastLook = [&]() -> Result<void> {
    if (!Lock.owns_lock()) // A set that is loaded anew takes several orders.
      Lock.lock();
    const TimePoint LookBegan = Clock.now();
    for (size_t n = 0; n < Load.Chunks.size(); ++n) {
      BOOST_LEAF_CHECK(prepareChunk(
          {Load.Order.Model, Load.Order.Version, n, Load.Order.Chunks[n], {}},
          Load.Chunks[n]));
      // On a host that is far too slow the first chunk may have turned bad
      // before the last one is read. The order is tried again later, on a look
      // that says how things are; such a host could not serve anyway.
      if (Load.Chunks[n] == nullptr && Clock.now() - LookBegan > LongestLook)
        return fail(ErrorKind::WeightsNotReady,
                    "staged chunks are read too slowly");
    }
    // A process that was paused wakes with an order that may be long out of
    // date, while another agent owns the host; some engines would obey it.
    if (Pauses.pauses(Clock.now()) != Before)
      return fail(ErrorKind::StaleView, "paused since the order was decided");
    Tell("set_checked");
    return {};
  };
  const auto Done = outcomeOf([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(Beside.Engine->load(Load.Order, Steps));
    return true;
  });
  if (Lock.owns_lock())
    Lock.unlock();
  std::optional<Failure> Why;
  if (!Done.Value)
    Why = Done.Why;
  post([this, Why](TimePoint Now, Effects &Out) {
    loadEnded(State, Why, Now, Out);
  });
  {
    const std::lock_guard Lock(WatchGuard);
    ++OrdersEnded;
  }
  WatchNow.notify_all();
}

void AgentShell::watchBackEnd() {
  while (!Ending) {
    uint64_t Orders = 0;
    {
      const std::lock_guard Lock(WatchGuard);
      Orders = OrdersEnded;
    }
    if (Beside.Engine != nullptr) {
      const auto Read = outcomeOf([&] { return Beside.Engine->state(); });
      post([this, Read, Orders](TimePoint Now, Effects &Out) {
        engineStateRead(State, Read, Orders, Now, Out);
      });
    }
    if (Beside.Service != nullptr) {
      const auto Read = outcomeOf([&] { return Beside.Service->ping(); });
      post([this, Read](TimePoint Now, Effects &Out) {
        servicePinged(State, Read, Now, Out);
      });
    }
    std::unique_lock Lock(WatchGuard);
    WatchNow.wait_for(Lock, WatchPeriod, [&] { return OrdersEnded != Orders; });
  }
}

void AgentShell::inspect(
    const std::function<void(const AgentState &, TimePoint)> &Look) {
  Loop.postAndWait([&](TimePoint Now) { Look(State, Now); });
}

bool AgentShell::drain() {
  post([this](TimePoint Now, Effects &Out) { agentStop(State, Now, Out); });
  const TimePoint Limit = Clock.now() + shutdownTime(State.Config, EndMargin);
  size_t Open = 0;
  bool Known = false;
  do {
    std::this_thread::sleep_for(DrainPoll);
    inspect([&](const AgentState &Agent, TimePoint) {
      Open = Agent.Attempts.size();
      Known = leavingIsKnown(Agent.Fleet);
    });
  } while ((Open > 0 || !Known) && Clock.now() < Limit);
  if (Open > 0)
    logLine(LogPart::Main, LogLevel::Error,
            "Shutdown cut off " + std::to_string(Open) + " attempts.");
  Links.finish(FinishWait);
  return Open == 0;
}

} // namespace jacinthpond
