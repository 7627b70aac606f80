"""Client of the platform's host list over HTTP."""

import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.settings import PlatformSettings
from lentilrill.store._contract import HostListing, Priority
from lentilrill.store._guard import CallBudget, CallGuard, Effect
from lentilrill.store._transport import DECODE_ERRORS, Transport
from lentilrill.telemetry import Metrics

__all__ = ["HttpHostList"]

STEP = "platform.hosts"
PATH = "/hosts"


class HttpHostList:
    """A :class:`~lentilrill.store.HostList` read from the platform by HTTP GET.

    :param budget: the process's call budget, if it is shared with other clients.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        budget: CallBudget | None = None,
    ) -> None:
        self._transport = Transport((settings.host_list,), clock)
        budget = budget or CallBudget(settings.calls_per_s, clock)
        self._guard = CallGuard(settings.host_list, settings.deadline_s, budget, metrics, clock)

    def hosts(self) -> Result[HostListing, Fault]:
        """Read the list, with low priority: it may not use the last half of the call budget."""
        return self._guard.call(STEP, Effect.REPEATABLE, Priority.LATER, self._attempt)

    def _attempt(self, timeout_s: float) -> Result[HostListing, Fault]:
        answer = self._transport.exchange(STEP, Effect.REPEATABLE, "GET", PATH, b"", timeout_s)
        return answer.bind(self._decode)

    def _decode(self, data: bytes) -> Result[HostListing, Fault]:
        try:
            return Success(msgspec.json.decode(data, type=HostListing))
        except DECODE_ERRORS as error:
            reason = f"malformed host list: {error}"
            return Failure(Fault(STEP, self._transport.peer, FaultKind.UNAVAILABLE, reason))
