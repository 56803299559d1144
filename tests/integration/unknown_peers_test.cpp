/** @file unknown_peers_test.cpp Messages of peers that have not said who they
 * are. */
// Labels: product serial

#include "crowd.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 24;
constexpr size_t FrameBytes = 8 << 20;

/** Opens a link and sends one message but for its last byte. */
Script unfinishedMessage(const std::string &At) {
  const std::string Head = "GET / HTTP/1.1\r\nHost: " + At +
                           "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                           "Sec-WebSocket-Version: 13\r\n\r\n";
  // A binary frame with a length of 8 bytes and a mask of zeros.
  std::string Frame("\x82\xff", 2);
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Frame +=
        static_cast<char>((FrameBytes >> static_cast<unsigned>(Shift)) & 0xffU);
  Frame += std::string(4, '\0');
  constexpr size_t BlockBytes = 64 << 10;
  return {"message", Head + Frame, std::string(BlockBytes, 'x'),
          FrameBytes / BlockBytes - 1, std::string(BlockBytes - 1, 'x')};
}

} // namespace

// Guards against large messages before the hello, which take the memory of an
// entry or an agent.
BOOST_AUTO_TEST_CASE(LargeMessagesBeforeTheHello) {
  const CrowdedEntry One;
  for (const std::string Name : {"entry-0", "agent-0"}) {
    const std::string At =
        Name == "entry-0" ? One.address("peers") : One.All->agentAddress(0);
    Crowd Many(At, Clients, unfinishedMessage(At));
    Many.play();
    One.checkMemory(Name, Name);
    One.checkServed(Name);
  }
  One.checkServed("afterwards");
}

// Guards against connections to the links' listener that take all descriptors
// without a byte.
BOOST_AUTO_TEST_CASE(SilentConnectionsBeforeTheHello) {
  const CrowdedEntry One;
  One.limitDescriptors();
  Crowd Many(One.address("peers"), 400, {"nothing", {}, {}, 0, {}});
  Many.play();
  One.checkServed("silent peers");
  BOOST_TEST(openDescriptors(One.process().pid()) < MachineDescriptors);
  One.checkMemory("silent peers");
}
