"""The node between processes: delivery, keys, malformed input."""

import queue
import threading

import zmq
from testtools import TestCase

from lentilrill.ids import Incarnation, ProcessId, Revision
from lentilrill.inner import Heartbeat, Node, _node, encode
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

    def heard_by(self, node: Node) -> "queue.Queue[Heartbeat]":
        heard: queue.Queue[Heartbeat] = queue.Queue()
        node.on(Heartbeat, lambda batch, message: heard.put(message))
        return heard

    def test_messages_arrive_in_order(self) -> None:
        keys = builders.inner_keys()
        one, two = self.a_node("one", keys), self.a_node("two", keys)
        heard = self.heard_by(two)
        for n in range(100):
            one.send(two.address, Heartbeat(builders.a_member(), Revision(n)))
        self.assertEqual(
            list(range(100)), [heard.get(timeout=WAIT_S).complete_to for _ in range(100)]
        )

    def test_a_node_hears_itself(self) -> None:
        node = self.a_node("one", builders.inner_keys())
        heard = self.heard_by(node)
        node.send(node.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, heard.get(timeout=WAIT_S).complete_to)

    def test_a_stray_process_is_not_heard(self) -> None:
        # A process of another system, or an attacker, sends a heartbeat to the inner address. If
        # it were accepted, that process could join, get grants or acknowledge a withdrawal. Its
        # key pair is not the system's, so its handshake must fail.
        keys = builders.inner_keys()
        stray, friend = self.a_node("stray", builders.inner_keys()), self.a_node("two", keys)
        listener = self.a_node("one", keys)
        heard = self.heard_by(listener)
        stray_socket = stray.socket(zmq.DEALER)
        stray_socket.curve_serverkey = keys.public.encode()
        stray_socket.connect(f"tcp://{listener.address}")
        member = builders.a_member("stray")
        stray_socket.send(encode(stray.batch((Heartbeat(member, Revision(1)),))))
        friend.send(listener.address, Heartbeat(builders.a_member("friend"), Revision(2)))
        self.assertEqual("friend", heard.get(timeout=WAIT_S).member.process)
        self.assertRaises(queue.Empty, heard.get, timeout=0.5)
        stray_socket.close(linger=0)

    def test_peers_cost_no_task_each(self) -> None:
        """A thread per peer gave an entry host of a site of 97 hosts a hundred sender threads."""
        keys = builders.inner_keys()
        node = self.a_node("one", keys)
        peers = [self.a_node(f"peer-{n}", keys) for n in range(8)]
        heard = [self.heard_by(peer) for peer in peers]
        before = threading.active_count()
        for peer in peers:
            node.send(peer.address, Heartbeat(builders.a_member(), Revision(1)))
        for messages in heard:
            messages.get(timeout=WAIT_S)
        self.assertLessEqual(threading.active_count(), before)

    def test_a_peer_that_is_gone_holds_up_no_other(self) -> None:
        """Messages to all hosts stopped while one of the hosts had no power."""
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        heard = self.heard_by(peer)
        gone = builders.an_address()
        for n in range(3000):
            node.send(gone, Heartbeat(builders.a_member(), Revision(n)))
        node.send(peer.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, heard.get(timeout=WAIT_S).complete_to)

    def test_an_odd_address_stops_no_other_message(self) -> None:
        """A record with a malformed address stopped all messages of a process, to all hosts."""
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        heard = self.heard_by(peer)
        for n, odd in enumerate(("no address", "10.0.0.1:port", "")):
            node.send(odd, Heartbeat(builders.a_member(), Revision(n)))
        node.send(peer.address, Heartbeat(builders.a_member(), Revision(7)))
        self.assertEqual(7, heard.get(timeout=WAIT_S).complete_to)

    def test_an_idle_connection_is_closed_and_opened_again(self) -> None:
        """A process kept a connection open to every host that had ever been at its site."""
        self.patch(_node, "IDLE_PEER_S", 0.01)
        self.patch(_node, "SWEEP_EVERY_S", 0.0)
        keys = builders.inner_keys()
        node, peer = self.a_node("one", keys), self.a_node("two", keys)
        heard = self.heard_by(peer)
        for n in range(3):
            node.send(peer.address, Heartbeat(builders.a_member(), Revision(n)))
            self.assertEqual(n, heard.get(timeout=WAIT_S).complete_to)
        self.assertTrue(eventually(lambda: not node._sender._sockets_by_address))

    def test_malformed_messages_are_dropped(self) -> None:
        # A faulty peer sends bytes that are not a batch. The receiver must drop and count them
        # and continue; otherwise one faulty peer would stop the process from receiving anything.
        keys = builders.inner_keys()
        listener = self.a_node("one", keys)
        heard = self.heard_by(listener)
        broken = listener.connected(listener.address)
        broken.send(b"\xc1 not a batch")
        broken.send_multipart([b"", b"\x90", b"\xff" * 100])
        friend = self.a_node("two", keys)
        friend.send(listener.address, Heartbeat(builders.a_member(), Revision(3)))
        self.assertEqual(3, heard.get(timeout=WAIT_S).complete_to)
        broken.close(linger=0)
