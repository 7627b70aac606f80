"""ZeroMQ between the system's processes: one listening socket, one task for each peer."""

import queue
import threading
import time
from collections.abc import Callable
from typing import Any

import zmq
from returns.result import Failure
from zmq.auth.thread import ThreadAuthenticator

from lentilrill.ids import Incarnation, ProcessId
from lentilrill.inner._codec import MAX_BATCH_BYTES, Batch, Message, decode, encode
from lentilrill.settings import InnerKeys
from lentilrill.telemetry import Event, Metrics, NoMetrics, log

__all__ = ["Node"]

OUTBOX_MESSAGES = 20_000
BATCH_MESSAGES = 256
IDLE_PEER_S = 20.0
RECEIVE_POLL_MS = 1000
PING_MS = 2000
SILENT_MS = 4000

Handler = Callable[[Batch, Any], None]


class _AllowedKey:
    """ZAP credentials: only holders of the system's own key pair may connect.

    Guard against a stray process that joins or acknowledges: its CURVE handshake fails, and no
    message of it is ever read.
    """

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key`` (Z85) is the system's."""
        del domain
        return key == self._public


class Node:
    """A process's end of the inner protocol.

    Handlers run on the receiving task and must not block. Sending never blocks: each peer has a
    bounded outbox, and what does not fit is dropped and counted. Every message of the protocol
    may be lost, so whoever needs an answer asks again.

    :param address: ``ip:port`` to listen on; also told to peers as the address to reply to.
    :param keys: key pair shared by the system's processes; ``None``: the network between them
        is trusted, and nothing is authenticated.
    :param listen: ``ip:port`` to listen on instead, if peers reach it by another address.
    """

    def __init__(
        self,
        process: ProcessId,
        incarnation: Incarnation,
        address: str,
        keys: InnerKeys | None,
        metrics: Metrics | None = None,
        listen: str = "",
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.address = address
        self._listen = listen or address
        self.bytes_sent = 0
        self.bytes_received = 0
        self._keys = keys
        self._metrics = metrics or NoMetrics()
        self._context = zmq.Context()
        self._handlers_by_kind: dict[type, list[Handler]] = {}
        self._peers_by_address: dict[str, _PeerTask] = {}
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._receiver = threading.Thread(target=self._receive, name="inner-receive", daemon=True)
        self._auth = ThreadAuthenticator(self._context) if keys is not None else None

    def on(self, kind: type, handler: Handler) -> None:
        """Call ``handler(batch, message)`` for each received message of type ``kind``."""
        self._handlers_by_kind.setdefault(kind, []).append(handler)

    def start(self) -> None:
        """Listen, and begin to receive."""
        if self._auth is not None and self._keys is not None:
            self._auth.start()
            self._auth.configure_curve_callback(
                credentials_provider=_AllowedKey(self._keys.public.encode())
            )
        self._listening = self.socket(zmq.ROUTER)
        if self._keys is not None:
            self._listening.curve_server = True
        self._listening.setsockopt(zmq.MAXMSGSIZE, MAX_BATCH_BYTES)
        self._listening.bind(f"tcp://{self._listen}")
        self._receiver.start()

    def send(self, address: str, message: Message) -> None:
        """Queue ``message`` for the process that listens on ``address``."""
        with self._lock:
            if self._stopping.is_set():
                return
            peer = self._peers_by_address.get(address)
            if peer is None or not peer.put(message):
                peer = _PeerTask(self, address)
                self._peers_by_address[address] = peer
                peer.put(message)
                peer.start()

    def close(self, linger_s: float = 0.5) -> None:
        """Send what is queued, for at most ``linger_s`` seconds, and end all tasks."""
        with self._lock:
            self._stopping.set()
            peers = list(self._peers_by_address.values())
        end = time.monotonic() + linger_s
        for peer in peers:
            peer.finish()
        for peer in peers:
            peer.join(max(0.0, end - time.monotonic()))
        if self._receiver.is_alive():
            self._receiver.join()
        if self._auth is not None and self._auth.is_alive():
            self._auth.stop()
        self._context.destroy(linger=int(linger_s * 1000))

    @property
    def stopping(self) -> bool:
        """Whether the node was closed."""
        return self._stopping.is_set()

    def socket(self, kind: int) -> zmq.Socket:
        """Return a socket with the system's keys and limits."""
        socket = self._context.socket(kind)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public.encode()
            socket.curve_secretkey = self._keys.secret.encode()
        # A connection that something in between forgot goes silent for good, while a new one
        # works. Unanswered pings show it; the library then closes it and connects anew.
        socket.setsockopt(zmq.HEARTBEAT_IVL, PING_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, SILENT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, 50)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, 1000)
        socket.setsockopt(zmq.IPV6, 1)
        socket.setsockopt(zmq.LINGER, 0)
        return socket

    def connected(self, address: str) -> zmq.Socket:
        """Return a sending socket that connects to ``address``, now and after each loss."""
        socket = self.socket(zmq.DEALER)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public.encode()
        own_ip = self._listen.rpartition(":")[0]
        same_family = own_ip.startswith("[") == address.startswith("[")
        socket.connect(f"tcp://{own_ip}:0;{address}" if same_family else f"tcp://{address}")
        return socket

    def batch(self, messages: tuple[Message, ...]) -> Batch:
        """Return ``messages`` in a batch of this process."""
        return Batch(self.process, self.incarnation, self.address, messages)

    def forget(self, peer: "_PeerTask") -> None:
        """Drop an idle peer's task; a later message starts a new one."""
        with self._lock:
            if self._peers_by_address.get(peer.address) is peer:
                del self._peers_by_address[peer.address]

    def dropped(self, peer: str, reason: str) -> None:
        """Count and log a message that could not be used."""
        self._metrics.incr("inner.dropped")
        log(Event.INNER_DROPPED, peer=peer or "unknown", reason=reason)

    def deliver(self, batch: Batch) -> None:
        """Hand each message of ``batch`` to its handlers."""
        for message in batch.messages:
            for handler in self._handlers_by_kind.get(type(message), ()):
                try:
                    handler(batch, message)
                except Exception as error:  # a failing handler must not end the receiving task
                    log(Event.TASK_FAILED, task=type(message).__name__, error=repr(error))

    def _receive(self) -> None:
        while not self._stopping.is_set():
            if not self._listening.poll(RECEIVE_POLL_MS):
                continue
            frames = self._listening.recv_multipart()
            self.bytes_received += len(frames[-1])
            result = decode(frames[-1])
            if isinstance(result, Failure):
                self.dropped("", result.failure().reason)
            else:
                self.deliver(result.unwrap())
        self._listening.close()


class _PeerTask(threading.Thread):
    """Sends one peer its messages, many in one batch when they queue up."""

    def __init__(self, node: Node, address: str) -> None:
        super().__init__(name=f"inner-{address}", daemon=True)
        self.address = address
        self._node = node
        self._outbox: queue.SimpleQueue[Message | None] = queue.SimpleQueue()
        self._ended = False

    def put(self, message: Message) -> bool:
        """Queue ``message``; return ``False`` if this task has ended."""
        if self._ended:
            return False
        if self._outbox.qsize() >= OUTBOX_MESSAGES:
            self._node.dropped(self.address, "outbox full")
        else:
            self._outbox.put(message)
        return True

    def run(self) -> None:
        """Send until the node closes or the peer was idle for long."""
        if self.address == self._node.address:
            self._loop(lambda batch: self._node.deliver(batch))
            return
        socket = self._node.connected(self.address)
        self._loop(lambda batch: self._send(socket, batch))
        socket.close(linger=500)

    def finish(self) -> None:
        """End the task once all that is queued has been sent."""
        self._outbox.put(None)

    def _loop(self, deliver: Callable[[Batch], None]) -> None:
        finished = False
        while not finished:
            messages, finished = self._next(IDLE_PEER_S)
            if messages:
                deliver(self._node.batch(messages))
            elif not finished:
                self._node.forget(self)
                self._ended = True
                finished = True
        # put() may have run between the last look at the outbox and the end of this task.
        messages, _ = self._next(0.0)
        if messages:
            deliver(self._node.batch(messages))

    def _next(self, timeout_s: float) -> tuple[tuple[Message, ...], bool]:
        """Return what is queued, and whether the task is to end after it."""
        messages: list[Message] = []
        try:
            message = self._outbox.get(timeout=timeout_s)
            while message is not None:
                messages.append(message)
                if len(messages) == BATCH_MESSAGES:
                    return tuple(messages), False
                message = self._outbox.get_nowait()
        except queue.Empty:
            return tuple(messages), False
        return tuple(messages), True

    def _send(self, socket: zmq.Socket, batch: Batch) -> None:
        data = encode(batch)
        try:
            socket.send(data, zmq.NOBLOCK)
            self._node.bytes_sent += len(data)
        except zmq.Again:
            self._node.dropped(self.address, "peer does not read")
