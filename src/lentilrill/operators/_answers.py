"""Request and response bodies of the operators' HTTP API."""

import msgspec

from lentilrill.fleet import HostPhase
from lentilrill.ids import HostId, PoolId, RackId, Revision, StopId, ZoneId
from lentilrill.operators._diff import Difference
from lentilrill.operators._records import AuditEntry, EditVerdict
from lentilrill.settings import Document, Finding

__all__ = [
    "ApplyBody",
    "AuditAnswer",
    "CheckAnswer",
    "CheckBody",
    "ConfigAnswer",
    "EditAnswer",
    "HostRow",
    "HostsAnswer",
    "Problem",
    "StopBody",
]


class CheckBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The two list files to check, each as raw JSON."""

    plans: msgspec.Raw
    entitlements: msgspec.Raw


class ApplyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The two list files to apply, and the revision that they were edited from.

    :param write_id: idempotency key chosen by the caller, for a retry after a lost response.
    """

    base: int
    plans: msgspec.Raw
    entitlements: msgspec.Raw
    write_id: str = ""


class StopBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A planned stop to declare."""

    id: StopId
    hosts: tuple[HostId, ...]
    retire: bool = False
    reason: str = ""


class ConfigAnswer(msgspec.Struct, frozen=True):
    """The configuration document.

    :param fresh: whether it was read from the platform; if not, it is this controller's copy.
    """

    revision: Revision
    fresh: bool
    document: Document


class CheckAnswer(msgspec.Struct, frozen=True):
    """Findings in the two lists, and what they would change if applied now."""

    valid: bool
    revision: Revision
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...]


class EditAnswer(msgspec.Struct, frozen=True):
    """The result of an edit that is ``accepted`` or ``unchanged``."""

    verdict: EditVerdict
    revision: Revision
    number: int
    write_id: str
    differences: tuple[Difference, ...] = ()
    findings: tuple[Finding, ...] = ()
    message: str = ""


class HostRow(msgspec.Struct, frozen=True):
    """One host and the pool that it belongs to."""

    id: HostId
    pool: PoolId
    phase: HostPhase
    zone: ZoneId
    rack: RackId
    address: str
    target: PoolId | None = None
    stop: StopId | None = None


class HostsAnswer(msgspec.Struct, frozen=True):
    """Every host that belongs to a pool, sorted by pool and id."""

    hosts: tuple[HostRow, ...]


class AuditAnswer(msgspec.Struct, frozen=True):
    """The newest edits, oldest first."""

    entries: tuple[AuditEntry, ...]


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An RFC 9457 problem document, with extension members that describe an edit.

    :param verdict: verdict on the edit; ``None`` if the request was not an edit.
    """

    type: str
    title: str
    status: int
    detail: str = ""
    verdict: EditVerdict | None = None
    write_id: str = ""
    number: int = 0
    base: Revision = Revision(0)
    revision: Revision | None = None
    differences: tuple[Difference, ...] = ()
    findings: tuple[Finding, ...] = ()
    since: tuple[AuditEntry, ...] = ()
    retry_after_s: float | None = None
