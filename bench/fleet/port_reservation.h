/** @file port_reservation.h Ports chosen before the programs that use them. */

#ifndef JACINTHPOND_BENCH_FLEET_PORT_RESERVATION_H
#define JACINTHPOND_BENCH_FLEET_PORT_RESERVATION_H

namespace jacinthpond::fleet {

/**
 * A TCP port on all addresses that the kernel gives to nobody else as long as
 * this object lives; throws when there is none. Without it a connection or
 * another test takes the port between its choice and the program's start, and
 * the program ends since its address is taken. A program may still listen on
 * it, with SO_REUSEADDR: that is refused only beside another listener.
 */
class PortReservation {
public:
  PortReservation();
  ~PortReservation();
  PortReservation(const PortReservation &) = delete;
  PortReservation &operator=(const PortReservation &) = delete;

  /**
   * Gives the port.
   * @return Its number.
   */
  int port() const { return Port; }

private:
  int Socket; ///< Bound, never listening.
  int Port = 0;
};

} // namespace jacinthpond::fleet

#endif
