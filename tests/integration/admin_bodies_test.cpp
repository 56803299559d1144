/** @file admin_bodies_test.cpp Bodies at the listeners with a thread for each
 * request: the administration API and the own interface. */
// Labels: product serial

#include "crowd.h"
#include "fleet/fleet.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 64;
/** Largest body at these listeners. */
constexpr size_t OwnMaxBody = 1 << 20;

} // namespace

// Guards against bodies at the administration API that take an entry's memory.
BOOST_AUTO_TEST_CASE(BodiesAtTheAdministrationApi) {
  const CrowdedEntry One;
  One.checkBeside(
      std::make_unique<Crowd>(One.address("admin"), Clients,
                              lengthScript(postHead("/v1/health"), OwnMaxBody)),
      "administration");
}

// Guards against whole bodies that wait there for a thread.
BOOST_AUTO_TEST_CASE(WholeBodiesAtTheAdministrationApi) {
  const CrowdedEntry One;
  const Script What{"whole",
                    {},
                    postHead("/v1/health") +
                        "Content-Length: " + std::to_string(OwnMaxBody) +
                        "\r\n\r\n" + std::string(OwnMaxBody, 'x'),
                    8,
                    {}};
  One.checkBeside(std::make_unique<Crowd>(One.address("admin"), Clients, What),
                  "administration, whole");
}

// Guards against bodies at the own interface that take an entry's memory.
BOOST_AUTO_TEST_CASE(BodiesAtTheOwnInterface) {
  FleetPlan Plan;
  Plan.Entries = 1;
  Plan.ModelWorkers = 1;
  Plan.ServiceWorkers = 0;
  Plan.EntrySettings = {{"memory_mb", MachineMemory},
                        {"file_descriptors", MachineDescriptors},
                        {"caller_read_ms", 60000}};
  Fleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  const auto Served = [&] {
    return waitFor(20s, [&] { return All.ask(0, Ask{}).Status == 200; });
  };
  BOOST_REQUIRE(Served());
  Crowd Many(
      All.address("entry-0", "callers"), Clients,
      lengthScript(postHead("/v1/classes/reports/requests"), OwnMaxBody));
  Many.play();
  const size_t Peak = peakMegabytes(All.pidOf("entry-0"));
  BOOST_TEST_MESSAGE("own interface: peak " << Peak << " MB");
  BOOST_TEST(Peak > 0U);
  BOOST_TEST(Peak < MachineMemory);
  BOOST_TEST(Served());
}
