"""Choice of the acting controller: no action waits for one that can't see it."""

from testtools import TestCase

from lentilrill.fleet._actions import Action, Close, Withdraw
from lentilrill.fleet._coordination import ActionCoordinator
from lentilrill.ids import HostId, PoolId, ZoneId
from lentilrill.membership import Member, Role, rendezvous
from tests.builders import a_member
from tests.fakes import FakeMembershipList

POOL = PoolId("library")


class CoordinationTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.members = [
            a_member(f"ct-{n}", role=Role.CONTROLLER, zone=ZoneId(f"z{n}")) for n in (1, 2, 3)
        ]
        self.first = rendezvous(POOL, self.members)
        self.second = next(member for member in self.members if member != self.first)

    def test_a_withdrawal_is_closed_where_it_was_acknowledged(self) -> None:
        # A host is released only seconds after its last job ended and its gateways acknowledged:
        # gateways send acknowledgements only to the controllers of their own zone, but the first
        # candidate of the pool is in another zone and never sees the action, while the other
        # controllers wait for it.
        coordinator = ActionCoordinator(FakeMembershipList(self.second, self.members))
        close = Close(HostId("w1"), POOL, "all gateways acknowledged the withdrawal")
        self.assertEqual(
            [close], coordinator.own_actions([close], {close.host: self.second.zone}, 0.0)
        )

    def test_a_proposal_is_left_to_the_first_in_order(self) -> None:
        propose = Withdraw(HostId("w1"), POOL, "planned stop")
        self.assertEqual([], self.actions_of(self.second, propose))
        self.assertEqual([propose], self.actions_of(self.first, propose))

    def actions_of(self, me: Member, action: Action) -> list[Action]:
        return ActionCoordinator(FakeMembershipList(me, self.members)).own_actions(
            [action], {action.host: me.zone}, 0.0
        )
