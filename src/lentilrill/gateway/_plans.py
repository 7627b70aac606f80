"""Lookup of plans by bearer token."""

import hashlib
import hmac

import msgspec

from lentilrill.fleet import FleetView
from lentilrill.ids import Revision, ServiceId
from lentilrill.settings import Document, Entitlement, Plan

__all__ = ["PlanAccess", "PlanDirectory"]


class PlanAccess(msgspec.Struct, frozen=True):
    """A plan with its entitlement."""

    plan: Plan
    entitlement: Entitlement


class PlanDirectory:
    """Finds plans by bearer token in the document in force."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._revision = Revision(-1)
        self._accesses_by_digest: dict[str, PlanAccess] = {}
        self._services: frozenset[ServiceId] = frozenset()
        view.subscribe(self._refresh)
        self._refresh()

    def find_by_token(self, token: str) -> PlanAccess | None:
        """Return the plan of ``token``; ``None`` if no plan with an entitlement has it."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        access = self._accesses_by_digest.get(digest)
        if access is None:
            return None
        expected = access.plan.token_sha256.lower()
        return access if hmac.compare_digest(expected, digest) else None

    def has_service(self, service: ServiceId) -> bool:
        """Return whether the document has a pool for ``service``."""
        return service in self._services

    def _refresh(self) -> None:
        if self._view.document_revision == self._revision:
            return
        document = self._view.document
        self._accesses_by_digest = _accesses(document)
        self._services = frozenset(pool.service for pool in document.pools)
        self._revision = self._view.document_revision


def _accesses(document: Document) -> dict[str, PlanAccess]:
    entitlements = document.entitlements_by_plan()
    return {
        plan.token_sha256.lower(): PlanAccess(plan, entitlements[plan.id])
        for plan in document.plans
        if plan.id in entitlements
    }
