"""An intake with an in-memory store, and peers that only record messages."""

from collections.abc import Callable
from unittest import mock

from msgspec.structs import replace
from testtools import TestCase

from lentilrill.ids import PoolId
from lentilrill.inner import JobAsk, PoolPressure
from lentilrill.intake import Intake, WorkspaceAdmission, _group
from lentilrill.ownership import OwnerRecord
from tests.builders import a_configuration, a_job
from tests.fakes import FakeKeyValue

__all__ = ["NEW_POOL", "NEW_QUEUE", "POOL", "QUEUE", "IntakeCase", "Peers"]

POOL, NEW_POOL = PoolId("notices"), PoolId("ballots")
QUEUE = a_configuration().queues[0]
NEW_QUEUE = replace(QUEUE, pool=NEW_POOL)
"""The same queue once its pool has changed."""


class Peers:
    """Records messages, and answers queries by ``answer`` if it is set."""

    def __init__(self) -> None:
        self.sent: list[object] = []
        self.answer: Callable[[JobAsk], None] | None = None

    def send(self, address: str, message: object) -> None:
        self.sent.append(message)
        if isinstance(message, JobAsk) and self.answer is not None:
            self.answer(message)


class IntakeCase(TestCase):
    """An entry host's intake, the pools' owner, and a job that was not submitted yet.

    :cvar peer_addresses: addresses of the other entry hosts.
    """

    peer_addresses: tuple[str, ...] = ()

    def setUp(self) -> None:
        super().setUp()
        self.kv = FakeKeyValue()
        self.peers = Peers()
        self.pressure: PoolPressure | None = None
        self.silent_s = 0.0
        self.owner: OwnerRecord | None = None
        self.former_pools: tuple[PoolId, ...] = ()
        self.intake = self.new_intake()
        self.job = a_job()

    def treat_no_commit_as_slow(self) -> None:
        """Let each commit wait for the one in flight, however long the test's threads take."""
        for name in ("SLOW_COMMIT_S", "RESEND_AFTER_S"):
            patched = mock.patch.object(_group, name, 60.0)
            patched.start()
            self.addCleanup(patched.stop)

    def new_intake(self, workspaces: WorkspaceAdmission | None = None) -> Intake:
        """Return a started intake; the case's own one knows nothing of workspaces."""
        intake = Intake(
            self.kv,
            self.peers,
            lambda pool: None,
            lambda pool: self.owner,
            lambda pool: self.pressure,
            lambda queue: self.former_pools,
            lambda: list(self.peer_addresses),
            lambda: self.silent_s,
            workspaces,
        )
        intake.start()
        self.addCleanup(intake.close)
        return intake
