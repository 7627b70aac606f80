"""Where a task runs."""

from collections.abc import Callable, Iterable

from lentilrill.ids import EndpointId, RackId
from lentilrill.workloads import Resources, Step

__all__ = ["EndpointRoom", "place"]

GATHERED = 3
"""Tasks that last which may gather on an endpoint before the next one is taken."""


class EndpointRoom:
    """Free room of one endpoint while a round of placement goes on.

    :ivar runs: tasks on it that end.
    :ivar probing: it has failed too often and gets one task that ends at a time.
    :ivar serving: tasks on it that last, which others disturb.
    """

    __slots__ = ("free", "id", "labels", "probing", "rack", "runs", "serving")

    def __init__(
        self,
        id: EndpointId,
        rack: RackId,
        labels: tuple[str, ...],
        free: Resources,
        runs: int = 0,
        serving: int = 0,
        probing: bool = False,
    ) -> None:
        self.id = id
        self.rack = rack
        self.labels = labels
        self.free = free
        self.runs = runs
        self.serving = serving
        self.probing = probing

    def take(self, needs: Resources, *, serves: bool) -> None:
        """Count a task that is placed here."""
        self.free = self.free.minus(needs)
        self.runs += not serves
        self.serving += serves


def place(
    step: Step,
    rooms: Iterable[EndpointRoom],
    on_endpoint: Callable[[EndpointId], int],
    avoid: set[EndpointId],
) -> EndpointRoom | None:
    """Return the endpoint for one more task of ``step``, or ``None`` if none has room.

    A task goes to the rack of its data if it can, and else where it fits best: that leaves whole
    endpoints free for large tasks.

    Load pattern: an endpoint fails all that it starts, and so is always free, while the others are
    full. A task that failed there would come back at once and use up its attempts in a second. So
    it rather waits for another endpoint, and is no probe for one that is unwell.
    Tasks that last gather on few endpoints, since each endpoint that holds one is kept from
    leaving an idle pool; but no more than a few on one, since they disturb each other, and since
    an endpoint that is lost takes all of them with it.

    :param on_endpoint: tasks of the step that have a run on an endpoint.
    :param avoid: endpoints where the task failed before.
    """
    needs = step.reserved
    rooms = list(rooms)
    best: EndpointRoom | None = None
    best_cost: tuple[float, ...] = ()
    others = any(room.id not in avoid and _has_label(step, room) for room in rooms)
    lasts = step.lasting or step.filler
    for room in rooms:
        if not needs.fits(room.free) or (room.probing and room.runs and not lasts):
            continue
        if not _has_label(step, room):
            continue
        if others and avoid and (room.id in avoid or room.probing):
            continue
        if step.most_per_endpoint and on_endpoint(room.id) >= step.most_per_endpoint:
            continue
        far = bool(step.near) and room.rack != step.near
        left = room.free.cpu - needs.cpu
        cost = (
            float(far),
            float(room.probing),
            _crowding(room.serving) if lasts else 0.0,
            float(left),
        )
        if best is None or cost < best_cost:
            best, best_cost = room, cost
    return best


def _has_label(step: Step, room: EndpointRoom) -> bool:
    return not step.label or step.label in room.labels


def _crowding(serving: int) -> float:
    """Return the cost of one more lasting task beside ``serving`` others: gather up to a few."""
    return float(-serving if serving < GATHERED else serving)
