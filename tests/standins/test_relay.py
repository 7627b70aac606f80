"""The relay delays data between partitioned zones until the partition ends."""

import socket
import threading

from testtools import TestCase

from standins.relay import Faults, Relay, Route

WAIT_S = 10.0
SILENCE_S = 0.3


def format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


class RelayTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.target = socket.create_server(("127.0.2.11", 0))
        self.addCleanup(self.target.close)
        threading.Thread(target=self._echo, daemon=True).start()
        advertised = socket.create_server(("127.0.2.61", 0))
        self.advertised = advertised.getsockname()
        advertised.close()
        route = Route(format_address(self.advertised), format_address(self.target.getsockname()))
        self.relay = Relay([route], "127.0.0.1:0")
        self.relay.start()
        self.addCleanup(self.relay.close)

    def _echo(self) -> None:
        while True:
            try:
                connection, _ = self.target.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(100):
                connection.sendall(data)

    def connected(self, source: str) -> socket.socket:
        connection = socket.create_connection(self.advertised, WAIT_S, (source, 0))
        self.addCleanup(connection.close)
        return connection

    def test_a_cut_is_silent_and_only_between_its_zones(self) -> None:
        other_zone, same_zone = self.connected("127.0.1.11"), self.connected("127.0.2.12")
        for connection in (other_zone, same_zone):
            connection.sendall(b"before")
            self.assertEqual(b"before", connection.recv(100))
        self.relay.faults = Faults(cut=((2, 1),))
        for connection in (other_zone, same_zone):
            connection.sendall(b"during")
        self.assertEqual(b"during", same_zone.recv(100))
        other_zone.settimeout(SILENCE_S)
        self.assertRaises(TimeoutError, other_zone.recv, 100)
        self.relay.faults = Faults()
        other_zone.settimeout(WAIT_S)
        self.assertEqual(b"during", other_zone.recv(100))
