"""What a pool's owner shows operators of an endpoint's speed."""

import msgspec

from lentilrill.ids import EndpointId, PoolId

__all__ = ["EndpointSpeed"]


class EndpointSpeed(msgspec.Struct, frozen=True):
    """Verdict on the speed of an endpoint, and its evidence.

    :param verdict: a value of :class:`~lentilrill.scheduling.Speed`.
    :param slowdown: factor by which its tasks take longer than their queues' others.
    :param tasks: tasks that the factor rests on.
    :param jobs: jobs of these tasks.
    :param runs: runs on the endpoint now.
    """

    pool: PoolId
    endpoint: EndpointId
    verdict: str
    slowdown: float
    tasks: int
    jobs: int
    runs: int
