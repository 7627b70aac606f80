"""The node between processes: delivery, keys, malformed input."""

import queue
import threading
from typing import Any
from unittest.mock import patch

import zmq
from testtools import TestCase

from lentilrill.ids import Incarnation, ProcessId, Revision
from lentilrill.inner import Heartbeat, Node, _codec, _node, encode
from lentilrill.settings import InnerKeys
from tests import builders
from tests.execution.fakes import eventually

WAIT_S = 10.0


class NodeTest(TestCase):
    def a_node(self, name: str, keys: InnerKeys) -> Node:
        node = Node(ProcessId(name), Incarnation(1), builders.an_address(), keys)
        node.start()
        self.addCleanup(node.close, 0.1)
        return node

    def received_by(self, node: Node) -> "queue.Queue[Heartbeat]":
        received: queue.Queue[Heartbeat] = queue.Queue()
        node.on(Heartbeat, lambda batch, message: received.put(message))
        return received

    def test_messages_arrive_in_order(self) -> None:
        keys = builders.inner_keys()
        one, two = self.a_node("one", keys), self.a_node("two", keys)
        received = self.received_by(two)
        for n in range(100):
            one.send(two.address, Heartbeat(builders.a_member(), Revision(n)))
        self.assertEqual(
            list(range(100)), [received.get(timeout=WAIT_S).complete_to for _ in range(100)]
        )

    def test_a_node_receives_its_own_messages(self) -> None:
        node = self.a_node("one", builders.inner_keys())
        received = self.received_by(node)
        node.send(node.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, received.get(timeout=WAIT_S).complete_to)

    def test_a_process_with_other_keys_is_rejected(self) -> None:
        # A process of another system, or an attacker, sends a heartbeat to the inner address. If
        # it were accepted, that process could join, get grants or acknowledge a withdrawal. Its
        # key pair is not the system's, so its handshake must fail.
        keys = builders.inner_keys()
        outsider, peer = self.a_node("stray", builders.inner_keys()), self.a_node("two", keys)
        listener = self.a_node("one", keys)
        received = self.received_by(listener)
        outsider_socket = outsider.socket(zmq.DEALER)
        outsider_socket.curve_serverkey = keys.public.encode()
        outsider_socket.connect(f"tcp://{listener.address}")
        member = builders.a_member("stray")
        outsider_socket.send(encode(outsider.batch((Heartbeat(member, Revision(1)),))))
        peer.send(listener.address, Heartbeat(builders.a_member("friend"), Revision(2)))
        self.assertEqual("friend", received.get(timeout=WAIT_S).member.process)
        self.assertRaises(queue.Empty, received.get, timeout=0.5)
        outsider_socket.close(linger=0)

    def test_peers_need_no_thread_each(self) -> None:
        """A thread per peer gave an entry host of a site of 97 hosts a hundred sender threads."""
        keys = builders.inner_keys()
        node = self.a_node("one", keys)
        peers = [self.a_node(f"peer-{n}", keys) for n in range(8)]
        received = [self.received_by(peer) for peer in peers]
        before = threading.active_count()
        for peer in peers:
            node.send(peer.address, Heartbeat(builders.a_member(), Revision(1)))
        for messages in received:
            messages.get(timeout=WAIT_S)
        self.assertLessEqual(threading.active_count(), before)

    def test_an_unreachable_peer_does_not_delay_others(self) -> None:
        """Messages to all hosts stopped while one of the hosts had no power."""
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        received = self.received_by(peer)
        unreachable = builders.an_address()
        for n in range(3000):
            node.send(unreachable, Heartbeat(builders.a_member(), Revision(n)))
        node.send(peer.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, received.get(timeout=WAIT_S).complete_to)

    def test_a_malformed_address_does_not_stop_other_messages(self) -> None:
        """A record with a malformed address stopped all messages of a process, to all hosts."""
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        received = self.received_by(peer)
        for n, malformed in enumerate(("no address", "10.0.0.1:port", "")):
            node.send(malformed, Heartbeat(builders.a_member(), Revision(n)))
        node.send(peer.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, received.get(timeout=WAIT_S).complete_to)

    def test_a_malformed_address_leaks_no_socket(self) -> None:
        """Guards against a process that runs out of descriptors since a peer's record holds an
        address that no socket can connect to."""
        node = self.a_node("one", builders.inner_keys())
        opened = []
        open_socket = node.socket
        node.socket = lambda kind: opened.append(open_socket(kind)) or opened[-1]  # type: ignore
        for _ in range(3):
            with self.assertRaises(zmq.ZMQError):
                node.sender_socket("not an address")
        self.assertEqual([True] * 3, [socket.closed for socket in opened])

    def test_the_receiver_outlives_an_unexpected_error(self) -> None:
        """Guards against a process that hears nobody any more since one message raised an error
        that nobody expected."""
        node = self.a_node("one", builders.inner_keys())
        received = self.received_by(node)
        other = self.a_node("two", node._keys)
        failed = threading.Event()

        def decode(data: bytes, *limits: int) -> object:
            if not failed.is_set():
                failed.set()
                raise RuntimeError("unexpected")
            return _codec.decode(data, *limits)

        with patch.object(_node, "decode", decode):
            other.send(node.address, Heartbeat(builders.a_member(), Revision(1)))
            self.assertTrue(failed.wait(WAIT_S))
            other.send(node.address, Heartbeat(builders.a_member(), Revision(2)))
            self.assertEqual(2, received.get(timeout=WAIT_S).complete_to)

    def test_an_idle_connection_is_closed_and_opened_again(self) -> None:
        """A process kept a connection open to every host that had ever been at its site."""
        self.patch(_node, "IDLE_TIMEOUT_S", 0.01)
        self.patch(_node, "IDLE_CHECK_INTERVAL_S", 0.0)
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        received = self.received_by(peer)
        for n in range(3):
            node.send(peer.address, Heartbeat(builders.a_member(), Revision(n)))
            self.assertEqual(n, received.get(timeout=WAIT_S).complete_to)
        self.assertTrue(eventually(lambda: not node._sender._sockets_by_address))

    def test_malformed_messages_are_dropped(self) -> None:
        # A faulty peer sends bytes that are not a batch. The receiver must drop and count them
        # and continue; otherwise one faulty peer would stop the process from receiving anything.
        keys = builders.inner_keys()
        listener = self.a_node("one", keys)
        received = self.received_by(listener)
        faulty = listener.sender_socket(listener.address)
        faulty.send(b"\xc1 not a batch")
        faulty.send_multipart([b"", b"\x90", b"\xff" * 100])
        peer = self.a_node("two", keys)
        peer.send(listener.address, Heartbeat(builders.a_member(), Revision(3)))
        self.assertEqual(3, received.get(timeout=WAIT_S).complete_to)
        faulty.close(linger=0)


class PlainNodeTest(TestCase):
    """Nodes without keys."""

    def a_node(self, name: str, **options: int) -> Node:
        node = Node(ProcessId(name), Incarnation(1), builders.an_address(), None, **options)
        node.start()
        self.addCleanup(node.close, 0.1)
        return node

    def received_by(self, node: Node) -> "queue.Queue[Heartbeat]":
        received: queue.Queue[Heartbeat] = queue.Queue()
        node.on(Heartbeat, lambda batch, message: received.put(message))
        return received

    def test_messages_of_several_peers_arrive_in_order(self) -> None:
        """Guards against messages that are lost or mixed up where connections share a thread."""
        node = self.a_node("one")
        received = self.received_by(node)
        peers = [self.a_node(f"peer-{n}") for n in range(4)]
        for number in range(200):
            for peer in peers:
                member = builders.a_member(peer.process)
                peer.send(node.address, Heartbeat(member, Revision(number)))
        messages = [received.get(timeout=WAIT_S) for _ in range(800)]
        for peer in peers:
            numbers = [each.complete_to for each in messages if each.member.process == peer.process]
            self.assertEqual(list(range(200)), numbers)

    def test_messages_that_are_too_long_together_are_sent_apart(self) -> None:
        """Guards against a receiver that drops all messages of a batch since they are too long."""
        node = self.a_node("one", max_batch_bytes=2000)
        received = self.received_by(node)
        peer = self.a_node("two", max_batch_bytes=2000)
        for number in range(100):
            peer.send(node.address, Heartbeat(builders.a_member(), Revision(number)))
        numbers = [received.get(timeout=WAIT_S).complete_to for _ in range(100)]
        self.assertEqual(list(range(100)), numbers)

    def test_a_peer_in_use_is_kept_however_many_addresses_are_named(self) -> None:
        """Guards against a connection to every address that a message names."""
        node = self.a_node("one", max_connections=8)
        peer = self.a_node("two")
        received = self.received_by(peer)
        for number in range(50):
            node.send(builders.an_address(), Heartbeat(builders.a_member(), Revision(1)))
            node.send(peer.address, Heartbeat(builders.a_member(), Revision(number)))
        numbers = [received.get(timeout=WAIT_S).complete_to for _ in range(50)]
        self.assertEqual(list(range(50)), numbers)
        self.assertLessEqual(len(node._sender._sockets_by_address), 4)

    def test_a_connection_whose_pings_are_answered_is_kept(self) -> None:
        """Guards against peers that connect again and again, and lose what is under way."""
        self.patch(_node, "PING_INTERVAL_MS", 20)
        self.patch(_node, "PING_TIMEOUT_MS", 2000)
        node, peer = self.a_node("one"), self.a_node("two")
        received = self.received_by(node)
        peer.send(node.address, Heartbeat(builders.a_member(), Revision(1)))
        received.get(timeout=WAIT_S)
        listener: Any = node._listener
        (connections,) = listener._connections_by_ip.values()
        (connection,) = connections
        heard_at = connection.heard_at
        self.assertTrue(eventually(lambda: connection.heard_at > heard_at + 0.5))
        peer.send(node.address, Heartbeat(builders.a_member(), Revision(2)))
        self.assertEqual(2, received.get(timeout=WAIT_S).complete_to)
        self.assertEqual([connection], list(*listener._connections_by_ip.values()))
