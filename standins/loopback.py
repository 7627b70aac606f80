"""Loopback networks that are each reserved by one process."""

import random
import socket

__all__ = ["LoopbackNetwork"]

RESERVED_PORT = 1024


class LoopbackNetwork:
    """The addresses 127.N.0.1 to 127.N.254.254, reserved against other users of this class.

    The kernel assigns ephemeral ports of connections and listeners on 127.0.0.1 only, so they
    never take an address of the network. The reservation ends with the process or with
    :meth:`close`.
    """

    def __init__(self) -> None:
        self._number, self._reservation = _reserve()

    def address(self, third: int, fourth: int, port: int) -> str:
        """Return the address with these last two octets."""
        return f"127.{self._number}.{third}.{fourth}:{port}"

    def close(self) -> None:
        """Release the network."""
        self._reservation.close()


def _reserve() -> tuple[int, socket.socket]:
    """Return a free second octet of 127/8 and the socket that reserves it."""
    for number in random.sample(range(1, 255), 254):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.{number}.255.1", RESERVED_PORT))
        except OSError:
            reservation.close()
            continue
        return number, reservation
    raise RuntimeError("no free loopback network")
