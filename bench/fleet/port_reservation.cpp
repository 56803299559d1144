/** @file port_reservation.cpp Ports chosen before the programs that use them.
 */

#include "fleet/port_reservation.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace jacinthpond::fleet {

PortReservation::PortReservation()
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  socklen_t Size = sizeof(At);
  const int One = 1;
  // The option comes after the choice: before it, the kernel could choose a
  // port that another reservation holds.
  const bool Done =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&At), Size) == 0 &&
      ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One)) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size) == 0;
  if (!Done) {
    ::close(Socket);
    throw std::runtime_error("no free port");
  }
  Port = ntohs(At.sin_port);
}

PortReservation::~PortReservation() { ::close(Socket); }

} // namespace jacinthpond::fleet
