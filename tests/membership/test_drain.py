"""A planned stop of entry hosts leaves one entry host of each zone in service."""

from testtools import TestCase

from lentilrill.ids import EntryHostId, HostId
from lentilrill.membership import Member, should_drain
from tests import builders


def gateway(number: int) -> Member:
    return builders.a_member(f"gw-{number}", entry_host=EntryHostId(f"entry-{number}"))


class DrainTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.one, self.two, self.three = (gateway(n) for n in (1, 2, 3))
        self.all = (self.one, self.two, self.three)

    def draining(self, alive: tuple[Member, ...], *to_stop: str) -> list[str]:
        named = {HostId(host) for host in to_stop}
        return [member.process for member in alive if should_drain(member, alive, named)]

    def test_only_named_entry_hosts_drain(self) -> None:
        self.assertEqual(["gw-2"], self.draining(self.all, "entry-2", "w1"))

    def test_all_named_drain_while_another_stays(self) -> None:
        self.assertEqual(["gw-1", "gw-2"], self.draining(self.all, "entry-1", "entry-2"))

    def test_the_last_of_a_zone_keeps_serving(self) -> None:
        # Operators declare one stop for every entry host of a zone, to replace its switches. If
        # all of them drained, the zone's callers would fail while its endpoints are idle.
        names = [member.entry_host for member in self.all]
        self.assertEqual(["gw-1", "gw-2"], self.draining(self.all, *names))
        self.assertEqual([], self.draining((self.two,), *names))

    def test_the_next_drains_when_one_is_back(self) -> None:
        returned = gateway(1)
        self.assertEqual(["gw-3"], self.draining((returned, self.three), "entry-3"))
