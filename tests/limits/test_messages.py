"""Messages and connections at the inner address of an entry host, from anyone who reaches it."""

import contextlib
import resource
import socket
import threading
import time
import zlib
from collections.abc import Iterator

import msgspec
import pytest
from testtools import TestCase
from testtools.content import text_content

from lentilrill.ids import Incarnation, JobId, PoolId, ProcessId
from lentilrill.inner import Batch, HostNews, JobAsk, JobDoubted, Message, PoolPressure, encode
from standins.users_platform import UsersPlatform
from tests.builders import an_address
from tests.execution.fakes import eventually
from tests.limits.peers import descriptors_of, peak_mb_of
from tests.platform.site import EntrySite

pytestmark = pytest.mark.alone

MEMORY_MB = 300
"""What a machine gives one process."""
MAX_DESCRIPTORS = 400
"""Limit of the process's descriptors in these tests; a machine has ten times as many."""
MAX_CONNECTIONS = 100
"""Limit of connections of other hosts in these tests."""
SILENT_CONNECTIONS = 500
CROWD = 6
CROWD_S = 8.0
MAX_SENT_BYTES = 600_000_000
"""Maximum number of bytes that each of a crowd sends."""
SENDERS = 20_000
ADDRESSES = 2_000
WITHIN_S = 20.0
HOST = "front-0"
QUEUE = "/proofs/"
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100}]}

GREETING = b"\xff" + bytes(8) + b"\x7f" + b"\x03\x01" + b"NULL".ljust(20, b"\0") + bytes(32)
READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
MORE, LONG, COMMAND = 1, 2, 4
MAX_BATCH_BYTES = 16 * 1024 * 1024
"""Length of an unpacked batch that a host accepts."""


def frame(body: bytes, flags: int = 0) -> bytes:
    """Return a frame of ZeroMQ's protocol."""
    return bytes((flags | LONG,)) + len(body).to_bytes(8, "big") + body


def a_batch(sender: str, reply_to: str, *messages: Message) -> bytes:
    """Return a batch of some sender as bytes."""
    return encode(Batch(ProcessId(sender), Incarnation(1), reply_to, messages))


class MessagesTest(TestCase):
    """One entry host whose inner address is reached by a crowd that isn't part of the system."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = UsersPlatform(0.1)
        self.addCleanup(self.platform.close)
        self.platform.configure(3, {QUEUE: "notices"})
        self.platform.add_host("notices")
        self.site = EntrySite(self.platform, 2)
        self.addCleanup(self.site.close)
        self.addOnException(lambda _: self.addDetail(HOST, text_content(self.site.output(HOST))))
        for settings in self.site.settings.values():
            settings["inner_connections"] = MAX_CONNECTIONS
        self.assertTrue(self.site.start_all())
        self.process = self.site.processes[HOST]
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)
        host, _, port = self.site.settings[HOST]["inner"].rpartition(":")
        self.address = (host, int(port))
        self.connections: list[socket.socket] = []
        self.addCleanup(self.disconnect)
        self.check_a_job(0)

    def disconnect(self) -> None:
        for connection in self.connections:
            connection.close()

    def connect(self) -> socket.socket:
        connection = socket.create_connection(self.address, timeout=CROWD_S)
        self.connections.append(connection)
        return connection

    def connect_as_host(self) -> socket.socket:
        """Return a connection after the handshake of ZeroMQ."""
        connection = self.connect()
        connection.sendall(GREETING + READY)
        answer = b""
        while b"READY" not in answer:
            part = connection.recv(4096)
            if not part:
                raise ConnectionError("no handshake")
            answer += part
        return connection

    def check_a_job(self, number: int) -> None:
        """Check that each host accepts an ordinary job, which is then done."""
        for name in self.site.settings:
            path = f"{QUEUE}{number:016x}"
            number += 1
            accepted = eventually(
                lambda name=name, path=path: self.site.submit(name, path, JOB) == 200, WITHIN_S
            )
            self.assertTrue(accepted, f"{name} doesn't accept a job")
            done = eventually(
                lambda name=name, path=path: self.site.state(name, path) == "completed", WITHIN_S
            )
            self.assertTrue(done, f"{name} has a job that isn't done")

    def check_process(self) -> None:
        self.assertIsNone(self.process.poll(), "the process has ended")
        peak_mb, descriptors = peak_mb_of(self.process.pid), descriptors_of(self.process.pid)
        print(f"{self.id()}: peak {peak_mb:.0f} MB, {descriptors} descriptors")
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTORS - MAX_CONNECTIONS)

    def send(self, connection: socket.socket, parts: Iterator[bytes]) -> None:
        """Send parts for some seconds, as far as the host takes them."""
        end = time.monotonic() + CROWD_S
        sent = 0
        with contextlib.suppress(OSError):
            for part in parts:
                connection.sendall(part)
                sent += len(part)
                if time.monotonic() > end or sent > MAX_SENT_BYTES:
                    break
        print(f"sent {sent} bytes")

    def send_by_crowd(self, *crowd: Iterator[bytes]) -> None:
        senders = [
            threading.Thread(target=self.send, args=(self.connect_as_host(), parts), daemon=True)
            for parts in crowd
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join(2 * CROWD_S)

    def check_all(self) -> None:
        self.check_process()
        self.check_a_job(10)
        self.check_process()

    def test_silent_connections(self) -> None:
        """Guards against descriptors that connections without a word take from all others."""
        for _ in range(SILENT_CONNECTIONS):
            with contextlib.suppress(OSError):
                self.connect()
        self.check_all()

    def test_greetings_without_a_handshake(self) -> None:
        """Guards against descriptors that connections keep which greet and then say nothing."""
        for _ in range(SILENT_CONNECTIONS):
            with contextlib.suppress(OSError):
                self.connect().sendall(GREETING)
        self.check_all()

    def test_handshakes_without_a_message(self) -> None:
        """Guards against descriptors that connections keep which send no message."""
        for _ in range(SILENT_CONNECTIONS):
            with contextlib.suppress(OSError):
                self.connect_as_host()
        self.check_all()

    def test_connections_that_send_garbage(self) -> None:
        """Guards against an end of the process by what isn't ZeroMQ's protocol."""
        for number in range(CROWD):
            with contextlib.suppress(OSError):
                self.send(self.connect(), iter([bytes((number,)) * 100_000] * 20))
                self.send(self.connect_as_host(), iter([bytes((255 - number,)) * 100_000] * 20))
        self.check_all()

    def test_large_frames(self) -> None:
        """Guards against memory that frames take which are no batch."""
        part = frame(b"\x07" * (MAX_BATCH_BYTES - 100))
        self.send_by_crowd(*(iter([part] * 1000) for _ in range(CROWD)))
        self.check_all()

    def test_packed_batches(self) -> None:
        """Guards against memory that small frames take once they are unpacked."""
        pressure = PoolPressure(PoolId("p"), 0.0, None, 1)
        count = MAX_BATCH_BYTES // (len(msgspec.msgpack.encode(pressure)) + 4)
        part = frame(a_batch("x", "127.0.0.1:1", HostNews(0.0, 1, (pressure,) * count)))
        self.send_by_crowd(*(iter([part] * 100_000) for _ in range(CROWD)))
        self.check_all()

    def test_batches_that_unpack_to_more_than_a_batch(self) -> None:
        """Guards against memory that the unpacking of a small frame takes."""
        part = frame(b"\x01" + zlib.compress(bytes(500_000_000), 1))
        self.send_by_crowd(*(iter([part] * 1000) for _ in range(CROWD)))
        self.check_all()

    def test_a_message_of_endless_parts(self) -> None:
        """Guards against memory that a message takes which never has its last part."""
        part = frame(b"x" * 1_000_000, MORE)
        self.send_by_crowd(iter([part] * 1000))
        self.check_all()

    def test_messages_of_many_parts(self) -> None:
        """Guards against memory that messages of very many parts take."""
        part = b"\x01\x00" * 100_000 + b"\x00\x00"
        self.send_by_crowd(*(iter([part] * 1000) for _ in range(CROWD)))
        self.check_all()

    def test_unknown_senders(self) -> None:
        """Guards against memory that a host keeps for each name that a message bears."""
        ids = ("x" * 500,)

        def batches(first: int) -> Iterator[bytes]:
            for number in range(first, SENDERS, CROWD):
                name = f"{number}-{'n' * 200}"
                pressure = PoolPressure(PoolId(name), 0.0, {}, 1, idle=ids * 8, late=ids * 8)
                news = HostNews(0.0, 1, (pressure,) * 2, True, sent_s=1.0)
                job = JobDoubted(JobId(name))
                yield frame(a_batch(name, "127.0.0.1:1", news, job))

        self.send_by_crowd(*(batches(first) for first in range(CROWD)))
        self.check_all()

    def test_unknown_pools_of_one_sender(self) -> None:
        """Guards against memory that a host keeps for each pool that a message names."""

        def batches(first: int) -> Iterator[bytes]:
            for number in range(first, SENDERS, CROWD):
                pressures = tuple(
                    PoolPressure(PoolId(f"{number}-{pool}"), 0.0, {}, 1) for pool in range(100)
                )
                yield frame(a_batch("x", "127.0.0.1:1", HostNews(0.0, 1, pressures)))

        self.send_by_crowd(*(batches(first) for first in range(CROWD)))
        self.check_all()

    def test_addresses_to_reply_to(self) -> None:
        """Guards against connections that a host opens to each address that a message names."""
        first, _, _ = an_address().rpartition(":")

        def batches() -> Iterator[bytes]:
            for number in range(ADDRESSES):
                reply_to = f"{first}:{20_000 + number}"
                news = HostNews(0.0, 1, asks=True)
                ask = JobAsk(number, PoolId("notices"), JobId("a" * 16))
                yield frame(a_batch(f"n-{number}", reply_to, news, ask))

        listeners = []
        for number in range(ADDRESSES):
            listener = socket.create_server((first, 20_000 + number), backlog=1)
            self.addCleanup(listener.close)
            listeners.append(listener)
        self.send_by_crowd(batches())
        self.check_all()

    def test_endless_parts_from_an_address_to_reply_to(self) -> None:
        """Guards against memory that a peer takes which sends where only answers are expected."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        news = HostNews(0.0, 1, asks=True)
        reply_to = f"127.0.0.1:{listener.getsockname()[1]}"
        self.connect_as_host().sendall(frame(a_batch("x", reply_to, news)))
        connection, _ = listener.accept()
        self.connections.append(connection)
        connection.sendall(GREETING + READY.replace(b"DEALER", b"ROUTER"))
        received = b""
        while b"HostNews" not in received:
            received += connection.recv(4096)
        part = frame(b"x" * 4000, MORE) * 250
        self.send(connection, iter([part] * 1000))
        self.check_all()
