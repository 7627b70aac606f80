"""Fakes for the tests of ownership."""

from lentilrill.ids import Revision
from lentilrill.ownership import Shard

__all__ = ["RecordingListener"]


class RecordingListener:
    """Records which shards were gained and lost."""

    def __init__(self) -> None:
        self.tokens_by_shard: dict[Shard, Revision] = {}
        self.losses: list[Shard] = []

    def on_gained(self, shard: Shard, token: Revision) -> None:
        self.tokens_by_shard[shard] = token

    def on_lost(self, shard: Shard, *, flush: bool = False) -> None:
        del flush
        self.losses.append(shard)
        self.tokens_by_shard.pop(shard, None)
