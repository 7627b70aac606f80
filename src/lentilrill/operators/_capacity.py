"""Warnings about plans that the listed hosts can't satisfy, with the numbers compared."""

from collections import defaultdict

from lentilrill.ids import PoolId
from lentilrill.settings import Document, Finding, Plan, Pool, Severity
from lentilrill.store import HostInfo, HostKind, HostListing, HostState

__all__ = ["check_capacity"]


def check_capacity(document: Document, listing: HostListing) -> tuple[Finding, ...]:
    """Return a warning for each requirement that the listed hosts can't satisfy.

    Checks the hosts owed in total, by pool and by zone, and that hosts of planned stops are listed.
    """
    workers = [
        host
        for host in listing.hosts
        if host.kind is HostKind.WORKER and host.state is HostState.LIVE
    ]
    return (
        _fleet_findings(document, workers)
        + _pool_findings(document, workers)
        + _zone_findings(document, workers)
        + _stop_findings(document, listing)
    )


def _fleet_findings(document: Document, workers: list[HostInfo]) -> tuple[Finding, ...]:
    owed = sum(plan.hosts_owed for plan in document.plans)
    if owed <= len(workers):
        return ()
    sums = _format_sum(document.plans)
    return _warning(
        "plans",
        f"{owed} hosts are owed ({sums}), {len(workers)} live workers are listed: "
        f"{owed - len(workers)} missing",
    )


def _pool_findings(document: Document, workers: list[HostInfo]) -> tuple[Finding, ...]:
    plans_by_pool: dict[PoolId, list[Plan]] = defaultdict(list)
    plans_by_id = document.plans_by_id()
    for entitlement in document.entitlements:
        plan = plans_by_id.get(entitlement.plan)
        if plan is not None and entitlement.pools:
            plans_by_pool[entitlement.pools[0]].append(plan)
    findings: tuple[Finding, ...] = ()
    for n, pool in enumerate(document.pools):
        plans = plans_by_pool[pool.id]
        owed = sum(plan.hosts_owed for plan in plans)
        fitting = sum(_fits(pool, host) for host in workers)
        if fitting < owed and fitting < len(workers):
            findings += _warning(
                f"pools[{n}]",
                f"{owed} hosts are owed ({_format_sum(tuple(plans))}), {fitting} of "
                f"{len(workers)} live workers have {pool.cores} cores, {pool.memory_gb} GB "
                f"and {pool.accelerators} accelerators: {owed - fitting} missing",
            )
    return findings


def _zone_findings(document: Document, workers: list[HostInfo]) -> tuple[Finding, ...]:
    plans_by_id = document.plans_by_id()
    findings: tuple[Finding, ...] = ()
    for n, entitlement in enumerate(document.entitlements):
        plan = plans_by_id.get(entitlement.plan)
        if plan is None or not entitlement.zones:
            continue
        available = sum(host.zone in entitlement.zones for host in workers)
        if available < plan.hosts_owed:
            findings += _warning(
                f"entitlements[{n}].zones",
                f"plan {plan.id!r} is owed {plan.hosts_owed} hosts, zones "
                f"{', '.join(entitlement.zones)} list {available} live workers: "
                f"{plan.hosts_owed - available} missing",
            )
    return findings


def _stop_findings(document: Document, listing: HostListing) -> tuple[Finding, ...]:
    listed = {host.id for host in listing.hosts}
    findings: tuple[Finding, ...] = ()
    for n, stop in enumerate(document.stops):
        unknown = [host for host in stop.hosts if host not in listed]
        if unknown:
            findings += _warning(
                f"stops[{n}].hosts", f"not on the platform's list: {', '.join(unknown)}"
            )
    return findings


def _fits(pool: Pool, host: HostInfo) -> bool:
    return (
        host.cores >= pool.cores
        and host.memory_gb >= pool.memory_gb
        and host.accelerators >= pool.accelerators
    )


def _format_sum(plans: tuple[Plan, ...]) -> str:
    return " + ".join(f"{plan.id} {plan.hosts_owed}" for plan in plans)


def _warning(path: str, message: str) -> tuple[Finding, ...]:
    return (Finding(Severity.WARNING, path, message),)
