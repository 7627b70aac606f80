"""ZeroMQ messaging between the system's processes: one listening socket, one sender thread."""

import queue
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol

import zmq
from returns.result import Failure
from zmq.auth.thread import ThreadAuthenticator

from lentilrill.ids import Incarnation, ProcessId
from lentilrill.inner._codec import MAX_BATCH_BYTES, Batch, Message, decode, encode_parts
from lentilrill.inner._listener import MAX_CONNECTIONS, PlainListener
from lentilrill.settings import InnerKeys
from lentilrill.telemetry import Event, Metrics, NoMetrics, log, run_and_log_errors

__all__ = ["Node"]

MAX_OUTBOX_MESSAGES = 20_000
MAX_BATCH_MESSAGES = 256
IDLE_TIMEOUT_S = 20.0
IDLE_CHECK_INTERVAL_S = 1.0
CLOSE_LINGER_MS = 500
"""Time that the last messages have to be sent once a connection is closed."""
RECEIVE_POLL_S = 1.0
ERROR_PAUSE_S = 0.1
"""Pause of the receiver after an unexpected error."""
RECEIVE_QUEUE_MESSAGES = 16
"""Messages of one peer that wait for the receiver; more wait at the peer."""
HANDSHAKE_TIMEOUT_MS = 5000
MAX_ANSWER_BYTES = 4096
"""Maximum length of what arrives on a connection that only sends."""
DROP_LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines about dropped messages, which are all counted."""
REPLACE_INTERVAL_S = 0.05
"""Minimum time between two connections that are closed for another: peers in use stay connected,
however many addresses messages name."""
PING_INTERVAL_MS = 2000
PING_TIMEOUT_MS = 4000

Handler = Callable[[Batch, Any], None]


class _AllowedKey:
    """ZAP credentials provider that accepts only the system's own key pair.

    A process of another system must not join this one or acknowledge a withdrawal. Its CURVE
    handshake fails, so none of its messages is ever read.
    """

    def __init__(self, public_key: bytes) -> None:
        self._public_key = public_key

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key`` (Z85) is the system's."""
        del domain
        return key == self._public_key


class Node:
    """A process's endpoint of the inner protocol.

    Handlers run on the receiver thread and must not block. Sending never blocks: the outbox and
    each peer's queue are bounded, and messages that do not fit are dropped and counted. Any
    message of the protocol may be lost, so a sender that needs an answer retries.

    :param address: ``ip:port`` to listen on; peers reply to it.
    :param keys: key pair shared by the system's processes; ``None`` if the network between them
        is trusted, in which case peers are not authenticated.
    :param listen: ``ip:port`` to bind to instead, if it differs from the address peers use.
    :param max_batch_bytes: maximum length of a batch; a longer one is dropped without decoding.
    :param max_connections: maximum number of connections that others open to this process, if
        they need no keys, and twice the number of those that it opens to others.
    """

    def __init__(
        self,
        process: ProcessId,
        incarnation: Incarnation,
        address: str,
        keys: InnerKeys | None,
        metrics: Metrics | None = None,
        listen: str = "",
        max_batch_bytes: int = MAX_BATCH_BYTES,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.address = address
        self._bind_address = listen or address
        self.max_batch_bytes = max_batch_bytes
        self._max_connections = max_connections
        self._drop_logged_at = -DROP_LOG_INTERVAL_S
        self.bytes_sent = 0
        self.bytes_received = 0
        self._keys = keys
        self._metrics = metrics or NoMetrics()
        self._context = zmq.Context()
        self._handlers_by_kind: dict[type, list[Handler]] = {}
        self._sender = _Sender(self, max(1, max_connections // 2))
        self._stopping = threading.Event()
        self._receiver = threading.Thread(target=self._receive, name="inner-receive", daemon=True)
        self._auth = ThreadAuthenticator(self._context) if keys is not None else None
        self._listener: _Listener

    def on(self, kind: type, handler: Handler) -> None:
        """Call ``handler(batch, message)`` for each received message of type ``kind``."""
        self._handlers_by_kind.setdefault(kind, []).append(handler)

    def start(self) -> None:
        """Bind the listening socket and start the receiver and sender threads."""
        if self._auth is not None and self._keys is not None:
            self._auth.start()
            self._auth.configure_curve_callback(
                credentials_provider=_AllowedKey(self._keys.public.encode())
            )
            self._listener = self._curve_listener()
        else:
            self._listener = PlainListener(
                self._bind_address,
                self._on_data,
                self.report_dropped,
                self.max_batch_bytes,
                self._max_connections,
            )
        self._receiver.start()
        self._sender.start()

    def _curve_listener(self) -> "_CurveListener":
        socket = self.socket(zmq.ROUTER)
        socket.curve_server = True
        socket.setsockopt(zmq.MAXMSGSIZE, self.max_batch_bytes)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        socket.bind(f"tcp://{self._bind_address}")
        return _CurveListener(socket, self._on_data)

    def send(self, address: str, message: Message) -> None:
        """Queue ``message`` for the process at ``address``."""
        if not self._stopping.is_set():
            self._sender.put(address, message)

    def close(self, linger_s: float = 0.5) -> None:
        """Send queued messages for at most ``linger_s`` seconds, then stop all threads."""
        self._stopping.set()
        self._sender.finish()
        if self._sender.is_alive():
            self._sender.join(linger_s)
        if self._receiver.is_alive():
            self._receiver.join()
        if self._auth is not None and self._auth.is_alive():
            self._auth.stop()
        self._context.destroy(linger=int(linger_s * 1000))

    @property
    def stopping(self) -> bool:
        """Whether the node is closed or closing."""
        return self._stopping.is_set()

    def socket(self, kind: int) -> zmq.Socket:
        """Return a socket of type ``kind`` with the system's keys and limits."""
        socket = self._context.socket(kind)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
        # A firewall or NAT device may drop the state of a connection, which then stays silent for
        # good while a new connection works. ZeroMQ detects it by missing pongs and reconnects.
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, PING_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, 1000)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.IPV6, 1)
        socket.setsockopt(zmq.LINGER, 0)
        return socket

    def sender_socket(self, address: str) -> zmq.Socket:
        """Return a sending socket that connects, and reconnects, to ``address``."""
        socket = self.socket(zmq.DEALER)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public.encode()
        # Nobody reads what a peer sends on this connection.
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_ANSWER_BYTES)
        socket.setsockopt(zmq.RCVHWM, 1)
        own_ip = self._bind_address.rpartition(":")[0]
        same_family = own_ip.startswith("[") == address.startswith("[")
        try:
            socket.connect(f"tcp://{own_ip}:0;{address}" if same_family else f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        return socket

    def batch(self, messages: tuple[Message, ...]) -> Batch:
        """Return a batch of ``messages`` with this process as the sender."""
        return Batch(self.process, self.incarnation, self.address, messages)

    def report_dropped(self, peer: str, reason: str) -> None:
        """Count a message that could not be sent or decoded, or a connection that was refused.

        Whoever reaches the inner address can cause any number of them, so not all are logged.
        """
        self._metrics.incr("inner.dropped")
        now = time.monotonic()
        if now - self._drop_logged_at < DROP_LOG_INTERVAL_S:
            return
        self._drop_logged_at = now
        log(Event.INNER_DROPPED, peer=peer or "unknown", reason=reason)

    def deliver(self, batch: Batch) -> None:
        """Call the handlers of each message of ``batch``."""
        for message in batch.messages:
            for handler in self._handlers_by_kind.get(type(message), ()):
                try:
                    handler(batch, message)
                except Exception as error:  # a failing handler must not stop the receiver thread
                    log(Event.TASK_FAILED, task=type(message).__name__, error=repr(error))

    def _receive(self) -> None:
        while not self._stopping.is_set():
            if not run_and_log_errors("inner-receive", self._receive_batch):
                self._stopping.wait(ERROR_PAUSE_S)
        self._listener.close()

    def _receive_batch(self) -> None:
        self._listener.receive(RECEIVE_POLL_S)

    def _on_data(self, data: bytes) -> bool:
        """Deliver a batch; return whether it is one."""
        self.bytes_received += len(data)
        result = decode(data, self.max_batch_bytes)
        if isinstance(result, Failure):
            self.report_dropped("", result.failure().reason)
            return False
        self.deliver(result.unwrap())
        return True


class _Listener(Protocol):
    """Receives messages of other processes."""

    def receive(self, wait_s: float) -> None:
        """Wait for messages, and handle those that are there."""

    def close(self) -> None:
        """Close all connections."""


class _CurveListener:
    """Receives messages of processes that have the system's keys."""

    def __init__(self, socket: zmq.Socket, on_message: Callable[[bytes], bool]) -> None:
        self._socket = socket
        self._on_message = on_message

    def receive(self, wait_s: float) -> None:
        if self._socket.poll(int(wait_s * 1000)):
            self._on_message(self._socket.recv_multipart()[-1])

    def close(self) -> None:
        self._socket.close()


class _Sender(threading.Thread):
    """Thread that sends the messages of all peers, batching those that are queued for one peer.

    A single thread serves all peers, so that the number of threads does not grow with the number
    of peers. It never waits for a peer, so that a slow one does not delay the others.
    """

    def __init__(self, node: Node, max_sockets: int) -> None:
        super().__init__(name="inner-send", daemon=True)
        self._node = node
        self._max_sockets = max_sockets
        self._replaced_at = 0.0
        self._outbox: queue.SimpleQueue[tuple[str, Message] | None] = queue.SimpleQueue()
        self._sockets_by_address: dict[str, zmq.Socket] = {}
        # In the order of their last use.
        self._used_at: dict[str, float] = {}
        self._idle_checked_at = time.monotonic()

    def put(self, address: str, message: Message) -> None:
        """Queue a message for the process at ``address``, or drop it if the outbox is full."""
        if self._outbox.qsize() >= MAX_OUTBOX_MESSAGES:
            self._node.report_dropped(address, "outbox full")
        else:
            self._outbox.put((address, message))

    def finish(self) -> None:
        """Stop the thread once all queued messages have been sent."""
        self._outbox.put(None)

    def run(self) -> None:
        """Send messages until :meth:`finish` is called."""
        finished = False
        while not finished:
            messages_by_address, finished = self._next_messages()
            for address, messages in messages_by_address.items():
                self._try_to_send(address, messages)
            self._close_idle(time.monotonic())
        for socket in self._sockets_by_address.values():
            socket.close(linger=CLOSE_LINGER_MS)

    def _next_messages(self) -> tuple[dict[str, list[Message]], bool]:
        """Return the queued messages by address, and whether the thread is to stop after them."""
        messages_by_address: dict[str, list[Message]] = {}
        wait_s = IDLE_TIMEOUT_S
        for _ in range(MAX_BATCH_MESSAGES):
            try:
                entry = self._outbox.get(block=wait_s > 0, timeout=wait_s)
            except queue.Empty:
                break
            if entry is None:
                return messages_by_address, True
            address, message = entry
            messages_by_address.setdefault(address, []).append(message)
            wait_s = 0.0
        return messages_by_address, False

    def _try_to_send(self, address: str, messages: list[Message]) -> None:
        try:
            self._send(address, messages)
        except Exception as error:  # one malformed address must not stop sending to other peers
            self._node.report_dropped(address, repr(error))

    def _send(self, address: str, messages: list[Message]) -> None:
        batch = self._node.batch(tuple(messages))
        if address == self._node.address:
            self._node.deliver(batch)
            return
        socket = self._socket(address)
        if socket is None:
            self._node.report_dropped(address, "too many peers")
            return
        self._used_at.pop(address, None)
        self._used_at[address] = time.monotonic()
        for data in encode_parts(batch, self._node.max_batch_bytes):
            try:
                socket.send(data, zmq.NOBLOCK)
                self._node.bytes_sent += len(data)
            except zmq.Again:
                self._node.report_dropped(address, "peer's send queue is full")

    def _socket(self, address: str) -> zmq.Socket | None:
        socket = self._sockets_by_address.get(address)
        if socket is not None or not self._make_room():
            return socket
        socket = self._sockets_by_address[address] = self._node.sender_socket(address)
        return socket

    def _make_room(self) -> bool:
        """Return whether one more connection may be opened; close the one unused for longest."""
        if len(self._sockets_by_address) < self._max_sockets:
            return True
        now = time.monotonic()
        if now - self._replaced_at < REPLACE_INTERVAL_S:
            return False
        self._replaced_at = now
        self._close_socket(next(iter(self._used_at)))
        return True

    def _close_socket(self, address: str) -> None:
        del self._used_at[address]
        self._sockets_by_address.pop(address).close(linger=CLOSE_LINGER_MS)

    def _close_idle(self, now: float) -> None:
        if now - self._idle_checked_at < IDLE_CHECK_INTERVAL_S:
            return
        self._idle_checked_at = now
        for address, used_at in list(self._used_at.items()):
            if now - used_at > IDLE_TIMEOUT_S:
                self._close_socket(address)
