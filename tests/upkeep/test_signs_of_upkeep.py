"""What counts as the upkeep of a host whose order got no answer, and what doesn't."""

from lentilrill.ids import EndpointId, HostId
from lentilrill.upkeep import HostOrderResult, HostState
from lentilrill.workloads import Wave
from tests.upkeep.test_upkeep import WavesCase, a_row

HOST = HostId("a")
REPLACED = EndpointId("i-new")


class SignsOfUpkeepTest(WavesCase):
    """A wave of one host, whose first order gets no answer."""

    def setUp(self) -> None:
        super().setUp()
        self.names = [HOST]
        self.hosts.answer = HostOrderResult.UNKNOWN
        self.waves = self.owner()
        self.run_rounds(self.waves, 2)
        self.assertEqual(1, len(self.hosts.orders))

    def show(self, state: HostState, endpoint: EndpointId | None = None) -> None:
        self.rows = {HOST: a_row(HOST, state=state, endpoint=endpoint)}

    def state_of_wave(self, number: int = 1) -> bytes:
        return self.kv.items_by_key[f"status/wave/{number}"].value or b""

    def check_ordered_again(self) -> None:
        """Check that the wave goes on until an order is answered and its host was down for it."""
        self.run_rounds(self.waves, 12)
        self.assertEqual(b"running", self.state_of_wave())
        self.assertGreater(len(self.hosts.orders), 1)
        self.hosts.answer = HostOrderResult.DONE
        self.run_rounds(self.waves, 12)
        self.show(HostState.UPKEEP)
        self.run_rounds(self.waves, 1)
        self.show(HostState.UP, REPLACED)
        self.run_rounds(self.waves, 1)
        self.assertEqual(b"completed", self.state_of_wave())

    def test_a_crash_is_no_upkeep(self) -> None:
        """Guards against a completed wave whose host only crashed and came back."""
        for state in (HostState.DOWN, HostState.UP):
            self.show(state)
            self.run_rounds(self.waves, 2)
        self.check_ordered_again()

    def test_another_endpoint_is_no_upkeep(self) -> None:
        """Guards against a completed wave whose host's endpoint crashed between two lists."""
        self.show(HostState.UP, REPLACED)
        self.run_rounds(self.waves, 2)
        self.check_ordered_again()

    def test_a_move_is_no_upkeep(self) -> None:
        """Guards against a completed wave whose host was moved by an order carried out late."""
        for state in (HostState.MOVING, HostState.UP):
            self.show(state, REPLACED)
            self.run_rounds(self.waves, 2)
        self.check_ordered_again()

    def test_a_crash_that_an_owner_finds_is_no_upkeep(self) -> None:
        """Guards against a completed wave whose owner was lost before the answer to its order."""
        self.waves = self.owner()
        for state in (HostState.DOWN, HostState.UP):
            self.show(state)
            self.run_rounds(self.waves, 2)
        self.check_ordered_again()

    def test_a_listed_upkeep_needs_no_answer(self) -> None:
        """Guards against a second drain of each host whose order was carried out unanswered."""
        for state in (HostState.UPKEEP, HostState.UP):
            self.show(state)
            self.run_rounds(self.waves, 1)
        self.assertEqual(b"completed", self.state_of_wave())
        self.assertEqual(1, len(self.hosts.orders))

    def test_the_upkeep_of_another_wave_is_none_of_this_one(self) -> None:
        """Guards against one upkeep that completes two waves."""
        self.more_waves = {2: Wave(2, (HOST,), 20.0, 1)}
        for state in (HostState.UPKEEP, HostState.UP):
            self.show(state)
            self.run_rounds(self.waves, 1)
        self.assertEqual(b"running", self.state_of_wave())

    def test_a_host_that_is_listed_again_is_not_gone(self) -> None:
        """Guards against a completed wave whose host was missing from the list for seconds."""
        self.names = [HOST, HostId("b")]
        self.waves = self.owner()
        self.rows = {HostId("b"): a_row("b")}
        self.run_rounds(self.waves, 12)
        self.hosts.answer = HostOrderResult.DONE
        self.rows[HOST] = a_row(HOST)
        for state in (HostState.UP, HostState.UPKEEP, HostState.UP):
            self.rows[HostId("b")] = a_row("b", state=state)
            self.run_rounds(self.waves, 6)
        ordered = [host for host, _ in self.hosts.orders[1:]]
        self.assertEqual({HOST, "b"}, set(ordered))
