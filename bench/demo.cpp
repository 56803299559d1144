/** @file demo.cpp Program jp-demo: a small fleet, shown in a few lines. */

#include "fleet/fleet.h"

#include <atomic>
#include <iostream>
#include <thread>

namespace jacinthpond::fleet {

namespace {

constexpr std::chrono::seconds ReadyLimit{30};

/** What a caller's loop saw. */
struct Seen {
  std::atomic<int> Whole{0};  ///< Answers that were whole.
  std::atomic<int> Failed{0}; ///< All others.
};

/** Asks until told to stop. */
void askOnAndOn(const Fleet &All, const std::atomic<bool> &Stop, Seen &Into) {
  for (size_t n = 0; !Stop; ++n) {
    Ask What;
    What.Body["prompt"] = "pass " + std::to_string(n);
    if (All.ask(n % All.Plan.Entries, What).Status == 200)
      ++Into.Whole;
    else
      ++Into.Failed;
  }
}

int fail(const std::string &What) {
  std::cout << "FAILED: " << What << "\n";
  return 1;
}

int demo() {
  Fleet All(FleetPlan{});
  if (!All.waitServing(ReadyLimit))
    return fail("the fleet did not come up");
  std::cout << "3 entries and " << All.Plan.ModelWorkers << "+"
            << All.Plan.ServiceWorkers << " agents serve in 3 domains\n";

  Ask Booking;
  Booking.Class = "bookings";
  Booking.Key = "slot-17";
  const Answer First = All.ask(0, Booking);
  const Answer Again = All.ask(1, Booking);
  std::cout << "booking: " << First.Status << " " << First.Body
            << "\nsame key through another entry: " << Again.Status << " "
            << Again.Body << "\n";
  if (First.Status != 200 || First.Body != Again.Body)
    return fail("the booking was not answered alike");

  Seen Callers;
  std::atomic<bool> Stop{false};
  std::thread Caller([&] { askOnAndOn(All, Stop, Callers); });
  const std::string Set = All.newModel("v2");
  const auto Begin = std::chrono::steady_clock::now();
  All.publish();
  const bool Arrived = All.waitServing(ReadyLimit);
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Begin;
  Stop = true;
  Caller.join();
  if (!Arrived)
    return fail("the new model did not reach every replica");
  std::cout << "model v2 " << Set.substr(0, 12) << " on every replica after "
            << Took.count() << " s; meanwhile " << Callers.Whole
            << " answers whole, " << Callers.Failed << " failed\n";
  return Callers.Failed == 0 ? 0 : fail("requests failed in the meantime");
}

} // namespace

} // namespace jacinthpond::fleet

int main() { return jacinthpond::fleet::demo(); }
