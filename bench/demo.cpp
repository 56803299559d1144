/** @file demo.cpp Program jp-demo: a small fleet, shown in a few lines. */

#include "fleet/fleet.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace jacinthpond::fleet {

namespace {

constexpr std::chrono::seconds ReadyLimit{30};
/** Longest wait for a domain that was taken out to fall silent. */
constexpr std::chrono::seconds SilentLimit{10};
/** Rate of the origin; slow enough for a look at a model on its way. */
constexpr int OriginRate = 100000;
/** Answers that callers get while the domain is out. */
constexpr int AnswersWhileOut = 50;

/** What a caller's loop saw. */
struct Seen {
  std::atomic<int> Whole{0};  ///< Answers that were whole.
  std::atomic<int> Failed{0}; ///< All others.
};

/** Callers that ask until they are told to stop. */
class Traffic {
public:
  explicit Traffic(const Fleet &All) : Asking([this, &All] { ask(All); }) {}
  ~Traffic() {
    Stop = true;
    Asking.join();
  }
  Traffic(const Traffic &) = delete;
  Traffic &operator=(const Traffic &) = delete;

  /** Gives what was answered so far. */
  const Seen &seen() const { return Answers; }

private:
  void ask(const Fleet &All) {
    for (size_t n = 0; !Stop; ++n) {
      Ask What;
      What.Body["prompt"] = "pass " + std::to_string(n);
      What.Stream = n % 2 == 1;
      const Answer Got = All.ask(n % All.Plan.Entries, What);
      const bool Whole =
          Got.Status == 200 && Got.Body.find("\"sha256\"") != std::string::npos;
      ++(Whole ? Answers.Whole : Answers.Failed);
    }
  }

  Seen Answers;
  std::atomic<bool> Stop{false};
  std::thread Asking; ///< Last member: it uses the others.
};

double secondsSince(std::chrono::steady_clock::time_point Begin) {
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Begin;
  return Took.count();
}

bool fail(const std::string &What) {
  std::cout << "FAILED: " << What << "\n";
  return false;
}

/** Runs a command of the operators against the first entry. */
Finished command(const Fleet &All, const std::string &Name) {
  return Fleet::runCommand({Name, "--admin", All.address("entry-0", "admin"),
                            "--token-file",
                            All.writeFile("token", OperatorToken)});
}

bool showBooking(const Fleet &All) {
  Ask Booking;
  Booking.Class = "bookings";
  Booking.Key = "slot-17";
  const Answer First = All.ask(0, Booking);
  const Answer Again = All.ask(1, Booking);
  std::cout << "booking: " << First.Status << " " << First.Body
            << "\nsame key through another entry: " << Again.Status << " "
            << Again.Body << "\n";
  return (First.Status == 200 && First.Body == Again.Body) ||
         fail("the booking was not answered alike");
}

/** Shows the spread of the model once, when it has come half way. */
void showProgress(const Fleet &All) {
  Finished Status;
  const bool HalfWay = waitFor(ReadyLimit, [&] {
    Status = command(All, "status");
    const size_t Bar = Status.Output.find("[####");
    return Bar != std::string::npos && Status.Output[Bar + 20] == '.';
  });
  const size_t Begin = Status.Output.find("MODEL");
  const size_t End = Status.Output.find("\n\n", Begin);
  if (HalfWay && End != std::string::npos)
    std::cout << Status.Output.substr(Begin, End + 1 - Begin);
}

bool showModel(Fleet &All) {
  const Traffic Callers(All);
  const std::string Set = All.newModel("v2");
  const auto Begin = std::chrono::steady_clock::now();
  All.publish();
  showProgress(All);
  if (!All.waitServing(ReadyLimit))
    return fail("the new model did not reach every replica");
  std::cout << "model v2 " << Set.substr(0, 12) << " on every replica after "
            << secondsSince(Begin) << " s; meanwhile " << Callers.seen().Whole
            << " answers whole, " << Callers.seen().Failed << " failed\n";
  return Callers.seen().Failed == 0 || fail("requests failed meanwhile");
}

/** Requests that the engines of a domain have begun. */
size_t begunIn(const Fleet &All, const std::string &Domain) {
  size_t Begun = 0;
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
    if (All.domainOf(n) == Domain)
      Begun += All.look("engine-" + std::to_string(n))["records"].size();
  return Begun;
}

bool showDomain(Fleet &All) {
  const std::string Domain = All.domainOf(1);
  const Traffic Callers(All);
  All.Document["domains_out"] = {Domain};
  All.publish();
  if (!waitFor(SilentLimit, [&] {
        return std::ranges::all_of(std::array{0, 1, 2}, [&](int n) {
          return All.health(static_cast<size_t>(n)).value("version", 0) ==
                 All.Document["version"];
        });
      }))
    return fail("the configuration is not in force everywhere");
  const size_t Before = begunIn(All, Domain);
  const int Whole = Callers.seen().Whole;
  if (!waitFor(ReadyLimit,
               [&] { return Callers.seen().Whole >= Whole + AnswersWhileOut; }))
    return fail("callers were not answered");
  const size_t Begun = begunIn(All, Domain) - Before;
  std::cout << command(All, "domains").Output << Domain
            << " is out: " << Callers.seen().Whole - Whole
            << " answers elsewhere, " << Begun << " begun there\n";
  All.Document["domains_out"] = Json::array();
  All.publish();
  const bool Back = waitFor(
      ReadyLimit, [&] { return begunIn(All, Domain) > Before + Begun; });
  std::cout << Domain << " is back and "
            << (Back ? "answers again" : "does not answer") << "; "
            << Callers.seen().Failed << " requests failed\n";
  return (Back && Begun <= 1 && Callers.seen().Failed == 0) ||
         fail("the domain did not leave and return in peace");
}

int demo() {
  FleetPlan Plan;
  Plan.OriginOptions = {{"bytes_per_second", OriginRate}};
  Fleet All(Plan);
  if (!All.waitServing(ReadyLimit)) {
    fail("the fleet did not come up");
    return 1;
  }
  std::cout << "3 entries and " << All.Plan.ModelWorkers << "+"
            << All.Plan.ServiceWorkers << " agents serve in 3 domains\n";
  if (!showBooking(All) || !showModel(All) || !showDomain(All))
    return 1;
  const Finished Status = command(All, "status");
  std::cout << "\n$ jacinthpond status\n" << Status.Output;
  return Status.Code;
}

} // namespace

} // namespace jacinthpond::fleet

int main() { return jacinthpond::fleet::demo(); }
