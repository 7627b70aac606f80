"""What the list of hosts shows of the host of an endpoint that is lost."""

import math

from lentilrill.execution._host_reader import HostListing
from lentilrill.execution._tracking import Run
from lentilrill.ids import EndpointId
from lentilrill.upkeep import HostRow, HostState

__all__ = ["HostView"]

RETURN_S = 3.0
"""Time for which a host is shown as down until its endpoint isn't expected to start again there; a
crashed one usually does within a second."""
NEVER = -math.inf


class HostView:
    """The host of one endpoint, as listings show it while the endpoint gives no answer.

    A host that is down ends the runs of the endpoint's process. The endpoint may start again there
    under its id, and a late copy of a start may begin in the next process.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Forget what was shown, as the endpoint has been lost just now."""
        self._has_left = False
        self._down_from = self._down_until = NEVER
        self._absent_at = math.inf

    def apply(
        self,
        row: HostRow | None,
        listing: HostListing,
        endpoint: EndpointId,
        *,
        is_registered: bool,
    ) -> None:
        """Apply a listing.

        :param row: the host in the listing, if it is there.
        :param is_registered: whether the endpoint is registered.
        """
        # The pages of a listing are no snapshot, so two in a row have to lack the host.
        if row is not None or is_registered:
            self._absent_at = math.inf
        else:
            self._absent_at = min(self._absent_at, listing.asked_at)
        has_gone = listing.asked_at > self._absent_at
        is_other = row is not None and bool(row.endpoint) and row.endpoint != endpoint
        is_moved = row is not None and row.state in (HostState.MOVING, HostState.UPKEEP)
        self._has_left = has_gone or is_other or is_moved
        if row is None or row.state is not HostState.DOWN:
            self._down_from = self._down_until = NEVER
            return
        if self._down_from == NEVER:
            self._down_from = listing.valid_at
        self._down_until = listing.valid_at

    def shows_end_of(self, run: Run) -> bool:
        """Whether a run on the endpoint is certainly not in progress."""
        if self._has_left:
            return True
        if self._down_until <= max(run.sent_at, run.confirmed_at or 0.0):
            return False
        return not run.may_start_late or self._down_until - self._down_from >= RETURN_S
