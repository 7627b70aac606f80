"""Lookup of plans by bearer token."""

import hashlib
import hmac

import msgspec

from lentilrill.fleet import FleetView
from lentilrill.ids import Revision, ServiceId
from lentilrill.settings import Document, Entitlement, Plan

__all__ = ["Holder", "PlanBook"]


class Holder(msgspec.Struct, frozen=True):
    """A plan with its entitlement."""

    plan: Plan
    entitlement: Entitlement


class PlanBook:
    """Finds plans by bearer token in the document in force."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._revision = Revision(-1)
        self._holders_by_digest: dict[str, Holder] = {}
        self._services: frozenset[ServiceId] = frozenset()
        view.subscribe(self._refresh)
        self._refresh()

    def find(self, token: str) -> Holder | None:
        """Return the plan of ``token``; ``None`` if no plan with an entitlement has it."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        holder = self._holders_by_digest.get(digest)
        if holder is None:
            return None
        known = holder.plan.token_sha256.lower()
        return holder if hmac.compare_digest(known, digest) else None

    def serves(self, service: ServiceId) -> bool:
        """Return whether the document has a pool for ``service``."""
        return service in self._services

    def _refresh(self) -> None:
        if self._view.document_revision == self._revision:
            return
        document = self._view.document
        self._holders_by_digest = _holders(document)
        self._services = frozenset(pool.service for pool in document.pools)
        self._revision = self._view.document_revision


def _holders(document: Document) -> dict[str, Holder]:
    entitlements = document.entitlements_by_plan()
    return {
        plan.token_sha256.lower(): Holder(plan, entitlements[plan.id])
        for plan in document.plans
        if plan.id in entitlements
    }
