"""Validation of a whole operators' document.

Every error is reported, not only the first one.
"""

import math
import re
from collections import Counter, defaultdict
from collections.abc import Iterable

from lentilrill.settings._document import Document, Entitlement, Plan, PlannedStop, Pool
from lentilrill.settings._findings import Finding, Severity

__all__ = ["check"]

ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
ID_RULE = "must be 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_REASON_CHARS = 500


def check(document: Document) -> tuple[Finding, ...]:
    """Return the errors and warnings for ``document``."""
    checker = _Checker(document)
    checker.check_plans()
    checker.check_pools()
    checker.check_entitlements()
    checker.check_objective()
    checker.check_stops()
    return tuple(checker.findings)


class _Checker:
    """Collects the findings of one document."""

    def __init__(self, document: Document) -> None:
        self.findings: list[Finding] = []
        self._document = document
        self._plans_by_id = document.plans_by_id()
        self._pools_by_id = document.pools_by_id()

    def check_plans(self) -> None:
        """Check the fields of each plan, then unique ids and tokens, and references."""
        plans = self._document.plans
        for n, plan in enumerate(plans):
            self._check_plan(f"plans[{n}]", plan)
        self._check_unique("plans", "id", [plan.id for plan in plans])
        self._check_unique(
            "plans", "token_sha256", [plan.token_sha256 for plan in plans], secret=True
        )
        services = {pool.service for pool in self._document.pools}
        entitled = {entitlement.plan for entitlement in self._document.entitlements}
        for n, plan in enumerate(plans):
            if plan.service not in services:
                self._add_error(f"plans[{n}].service", f"no pool serves service {plan.service!r}")
            if plan.id not in entitled:
                self._add_error(f"plans[{n}].id", f"plan {plan.id!r} has no entitlement")

    def check_pools(self) -> None:
        """Check each pool, and that at least one is a spare pool."""
        pools = self._document.pools
        for n, pool in enumerate(pools):
            self._check_pool(f"pools[{n}]", pool)
        self._check_unique("pools", "id", [pool.id for pool in pools])
        if pools and not any(pool.spare for pool in pools):
            self._add_error("pools", 'there is no spare pool; set "spare": true on one pool')

    def check_entitlements(self) -> None:
        """Check each entitlement and its references."""
        entitlements = self._document.entitlements
        for n, entitlement in enumerate(entitlements):
            self._check_entitlement(f"entitlements[{n}]", entitlement)
        self._check_unique(
            "entitlements", "plan", [entitlement.plan for entitlement in entitlements]
        )

    def check_objective(self) -> None:
        """Check the ranges of the objective's fields."""
        objective = self._document.objective
        self._check_at_least("objective.move_weight", objective.move_weight, 0)
        self._check_at_least("objective.buffer_weight", objective.buffer_weight, 0)
        self._check_at_least("objective.settle_s", objective.settle_s, 0)

    def check_stops(self) -> None:
        """Check each planned stop; warn about hosts listed in more than one."""
        stops = self._document.stops
        self._check_unique("stops", "id", [stop.id for stop in stops])
        stops_by_host = defaultdict(list)
        for n, stop in enumerate(stops):
            self._check_stop(f"stops[{n}]", stop)
            for host in set(stop.hosts):
                stops_by_host[host].append(stop.id)
        for host, ids in stops_by_host.items():
            if len(ids) > 1:
                self._add_warning(
                    "stops", f"host {host!r} is listed in several stops: {', '.join(ids)}"
                )

    def _check_plan(self, path: str, plan: Plan) -> None:
        self._check_id(f"{path}.id", plan.id)
        self._check_id(f"{path}.customer", plan.customer)
        self._check_id(f"{path}.service", plan.service)
        self._check_at_least(f"{path}.hosts_owed", plan.hosts_owed, 0)
        self._check_at_least(f"{path}.availability_budget", plan.availability_budget, 0)
        self._check_above(f"{path}.start_within_s", plan.start_within_s, 0)
        if not DIGEST_PATTERN.fullmatch(plan.token_sha256):
            self._add_error(f"{path}.token_sha256", "must be a SHA-256 in 64 lower-case hex digits")
        if plan.availability_budget > max(plan.hosts_owed, 0):
            self._add_error(
                f"{path}.availability_budget",
                f"{plan.availability_budget} is more than the {plan.hosts_owed} hosts owed",
            )
        elif plan.hosts_owed > 0 and plan.availability_budget == 0:
            self._add_warning(
                f"{path}.availability_budget",
                "with 0, a host can leave for maintenance only after its replacement is in service",
            )

    def _check_pool(self, path: str, pool: Pool) -> None:
        self._check_id(f"{path}.id", pool.id)
        self._check_id(f"{path}.service", pool.service)
        self._check_at_least(f"{path}.slots_per_host", pool.slots_per_host, 1)
        self._check_at_least(f"{path}.cores", pool.cores, 0)
        self._check_at_least(f"{path}.memory_gb", pool.memory_gb, 0)
        self._check_at_least(f"{path}.accelerators", pool.accelerators, 0)
        if pool.connections_per_host < pool.slots_per_host:
            self._add_error(
                f"{path}.connections_per_host",
                f"{pool.connections_per_host} connections are fewer than "
                f"{pool.slots_per_host} slots",
            )

    def _check_entitlement(self, path: str, entitlement: Entitlement) -> None:
        if entitlement.plan not in self._plans_by_id:
            self._add_error(f"{path}.plan", f"no plan {entitlement.plan!r}")
        if not entitlement.pools:
            self._add_error(f"{path}.pools", "must list at least one pool")
        self._check_pool_references(path, entitlement)
        self._check_no_repeats(f"{path}.pools", entitlement.pools)
        self._check_no_repeats(f"{path}.zones", entitlement.zones)
        for n, zone in enumerate(entitlement.zones):
            self._check_id(f"{path}.zones[{n}]", zone)
        self._check_at_least(f"{path}.rate_per_s", entitlement.rate_per_s, 0)
        self._check_at_least(f"{path}.concurrency", entitlement.concurrency, 0)
        self._check_at_least(f"{path}.queue", entitlement.queue, 0)
        self._check_at_least(f"{path}.largest_job_bytes", entitlement.largest_job_bytes, 1)
        for n, prefix in enumerate(entitlement.idempotent_paths):
            if not prefix.startswith("/"):
                self._add_error(f"{path}.idempotent_paths[{n}]", "must start with '/'")

    def _check_pool_references(self, path: str, entitlement: Entitlement) -> None:
        plan = self._plans_by_id.get(entitlement.plan)
        is_served = False
        for n, pool_id in enumerate(entitlement.pools):
            pool = self._pools_by_id.get(pool_id)
            if pool is None:
                self._add_error(f"{path}.pools[{n}]", f"no pool {pool_id!r}")
            elif plan is not None and pool.service == plan.service:
                is_served = True
            elif plan is not None:
                self._add_warning(
                    f"{path}.pools[{n}]",
                    f"pool {pool_id!r} serves {pool.service!r}, not {plan.service!r}",
                )
        known = any(pool in self._pools_by_id for pool in entitlement.pools)
        if plan is not None and known and not is_served:
            self._add_error(f"{path}.pools", f"none of these pools serves {plan.service!r}")

    def _check_stop(self, path: str, stop: PlannedStop) -> None:
        self._check_id(f"{path}.id", stop.id)
        if not stop.hosts:
            self._add_error(f"{path}.hosts", "must list at least one host")
        self._check_no_repeats(f"{path}.hosts", stop.hosts)
        for n, host in enumerate(stop.hosts):
            self._check_id(f"{path}.hosts[{n}]", host)
        if len(stop.reason) > MAX_REASON_CHARS:
            self._add_error(f"{path}.reason", f"longer than {MAX_REASON_CHARS} characters")

    def _check_id(self, path: str, text: str) -> None:
        if not ID_PATTERN.fullmatch(text):
            self._add_error(path, ID_RULE)

    def _check_at_least(self, path: str, value: float, minimum: float) -> None:
        if not math.isfinite(value) or value < minimum:
            self._add_error(path, f"{value} is out of range: must be at least {minimum}")

    def _check_above(self, path: str, value: float, limit: float) -> None:
        if not math.isfinite(value) or value <= limit:
            self._add_error(path, f"{value} is out of range: must be above {limit}")

    def _check_unique(self, path: str, key: str, values: list[str], secret: bool = False) -> None:
        first: dict[str, int] = {}
        for n, value in enumerate(values):
            if value in first:
                shown = "" if secret else f" {value!r}"
                self._add_error(
                    f"{path}[{n}].{key}",
                    f"duplicate value{shown}, first used in {path}[{first[value]}]",
                )
            first.setdefault(value, n)

    def _check_no_repeats(self, path: str, values: Iterable[str]) -> None:
        for value, count in Counter(values).items():
            if count > 1:
                self._add_error(path, f"{value!r} is listed {count} times")

    def _add_error(self, path: str, message: str) -> None:
        self.findings.append(Finding(Severity.ERROR, path, message))

    def _add_warning(self, path: str, message: str) -> None:
        self.findings.append(Finding(Severity.WARNING, path, message))
