"""Workspaces of the configuration, and the keys by which their callers are recognised."""

import hashlib
from typing import NewType

import msgspec

from lentilrill.ids import PoolId, WorkspaceId
from lentilrill.workloads._job import Resources

__all__ = [
    "KeyDigest",
    "PoolUse",
    "Workspace",
    "WorkspaceReport",
    "WorkspaceSubmissions",
    "WorkspaceUse",
    "Workspaces",
    "digest_of",
    "fingerprint_of",
]

KeyDigest = NewType("KeyDigest", bytes)
"""SHA-256 digest of a key. Keys themselves are not kept, so that none can end up in a log."""
FINGERPRINT_DIGITS = 8


class Workspace(msgspec.Struct, frozen=True):
    """One workspace.

    :param weight: its share of the capacity when all of it is in use, relative to the others.
    :param cap: resources that its tasks may use in all pools together; 0 for no limit.
    """

    id: WorkspaceId
    weight: float = 1.0
    cap: Resources = Resources()


class Workspaces(msgspec.Struct, frozen=True):
    """The workspaces of one version of the configuration."""

    by_id: dict[WorkspaceId, Workspace]
    id_by_key_digest: dict[KeyDigest, WorkspaceId]

    def find(self, key: bytes) -> WorkspaceId | None:
        """Return the workspace with this key, or ``None``.

        The key is compared by its digest only, so that the time of a lookup tells nothing about
        how much of an unknown key is right.
        """
        return self.id_by_key_digest.get(digest_of(key))


class WorkspaceUse(msgspec.Struct, frozen=True):
    """What a pool uses of one workspace's cap, as its owner knows it.

    :param held: what the pool holds of the cap.
    :param lacking: what its tasks could use now if the pool held more.
    :param held_by_pool: what each pool holds, by the newest record that the owner has read.
    :param waiting: pools whose tasks wait for more than they hold.
    :param weight: its weight by the configuration; 0 if that has no such workspace.
    :param share: largest share of the pool that its runs use of any resource, by the newest round
        that was ordered by shares; 0 while there is room.
    """

    id: WorkspaceId
    cap: Resources
    used: Resources
    held: Resources
    lacking: Resources
    held_by_pool: dict[PoolId, Resources]
    waiting: tuple[PoolId, ...] = ()
    weight: float = 0.0
    share: float = 0.0


class WorkspaceSubmissions(msgspec.Struct, frozen=True):
    """What one workspace submits to an entry host.

    :param weight: its weight, which is also its rate in jobs per second over all entry hosts.
    :param sent_per_s: jobs that it submits per second, accepted or not.
    :param refused: jobs refused for lack of room since the host started.
    """

    id: WorkspaceId
    weight: float
    sent_per_s: float
    refused: int


class PoolUse(msgspec.Struct, frozen=True):
    """What one pool uses of the workspaces' caps.

    :param workspaces: the workspaces that use most; ``others`` sums up the remaining ones.
    :param age_s: seconds since the owner's last planning round.
    :param capacity: what its endpoints have in all.
    """

    pool: PoolId
    workspaces: tuple[WorkspaceUse, ...]
    others: Resources = Resources()
    age_s: float = 0.0
    capacity: Resources = Resources()


class WorkspaceReport(msgspec.Struct, frozen=True):
    """What an entry host shows of workspaces.

    :param pools: use of the pools that it owns.
    :param submissions: what each workspace submits to it.
    """

    pools: tuple[PoolUse, ...]
    submissions: tuple[WorkspaceSubmissions, ...] = ()


def digest_of(key: bytes) -> KeyDigest:
    """Return the digest by which a key is looked up."""
    return KeyDigest(hashlib.sha256(key).digest())


def fingerprint_of(digest: KeyDigest) -> str:
    """Return the digits of a digest by which a key is named in logs."""
    return digest.hex()[:FINGERPRINT_DIGITS]
