"""Validation of the operators' document: every error is reported with its path."""

import msgspec
from testtools import TestCase

from lentilrill.ids import HostId, PlanId, PoolId, ServiceId, StopId, ZoneId
from lentilrill.settings import Document, Objective, PlannedStop, Severity, check
from tests.builders import a_document, a_plan, a_pool, an_entitlement


def changed(**lists: object) -> Document:
    return msgspec.structs.replace(a_document("schools", "spare"), **lists)


def paths(document: Document, severity: Severity = Severity.ERROR) -> list[str]:
    return [finding.path for finding in check(document) if finding.severity is severity]


class CheckTest(TestCase):
    def test_a_whole_document_has_no_findings(self) -> None:
        self.assertEqual((), check(a_document("schools", "spare")))

    def test_every_error_is_reported_not_just_the_first(self) -> None:
        # Guards against showing one error per attempt to an operator who edits a long list.
        plans = (
            a_plan(hosts_owed=-1, availability_budget=0),
            a_plan("spare", token_sha256="ABC", start_within_s=float("nan")),
            a_plan("spare", service=ServiceId("none")),
        )
        entitlements = (an_entitlement(pools=()), an_entitlement("spare", queue=-1))
        found = paths(changed(plans=plans, entitlements=entitlements))
        for path in (
            "plans[0].hosts_owed",
            "plans[1].token_sha256",
            "plans[1].start_within_s",
            "plans[2].id",
            "plans[2].service",
            "entitlements[0].pools",
            "entitlements[1].queue",
        ):
            self.assertIn(path, found)

    def test_tokens_are_unique_and_not_shown(self) -> None:
        # With one token for two plans, the plan of a request would be ambiguous.
        plans = (a_plan(), a_plan("spare", token_sha256=a_plan().token_sha256))
        (finding,) = check(changed(plans=plans))
        self.assertEqual("plans[1].token_sha256", finding.path)
        self.assertNotIn(a_plan().token_sha256, finding.message)

    def test_references(self) -> None:
        cases = {
            "entitlements[0].plan": {"entitlements": (an_entitlement("none"),)},
            "entitlements[0].pools[0]": {"entitlements": (an_entitlement(pools=(PoolId("x"),)),)},
            "plans[1].id": {"entitlements": (an_entitlement(),)},
            "entitlements[0].pools": {
                "entitlements": (an_entitlement(pools=(PoolId("spare"),)), an_entitlement("spare"))
            },
            "pools": {"pools": (a_pool(), a_pool("spare"))},
            "pools[2].id": {"pools": (a_pool(), a_pool("spare", spare=True), a_pool())},
        }
        for path, lists in cases.items():
            self.assertIn(path, paths(changed(**lists)))

    def test_ranges_of_pools_entitlements_and_objective(self) -> None:
        pool = a_pool(
            slots_per_host=0, connections_per_host=-1, cores=-1, memory_gb=-1, accelerators=-1
        )
        entitlement = an_entitlement(
            rate_per_s=float("inf"),
            concurrency=-1,
            largest_job_bytes=0,
            zones=(ZoneId("z1"), ZoneId("z1"), ZoneId("a/b")),
            idempotent_paths=("v1",),
        )
        found = paths(
            changed(
                pools=(pool, a_pool("spare", spare=True)),
                entitlements=(entitlement, an_entitlement("spare")),
                objective=Objective(-1, float("nan"), -1),
            )
        )
        pool_keys = ("slots_per_host", "connections_per_host", "cores", "memory_gb", "accelerators")
        entitlement_keys = (
            "rate_per_s",
            "concurrency",
            "largest_job_bytes",
            "zones",
            "zones[2]",
            "idempotent_paths[0]",
        )
        objective_keys = ("move_weight", "buffer_weight", "settle_s")
        expected = (
            {f"pools[0].{key}" for key in pool_keys}
            | {f"entitlements[0].{key}" for key in entitlement_keys}
            | {f"objective.{key}" for key in objective_keys}
        )
        self.assertEqual(expected, set(found))

    def test_ids_fit_into_keys_and_paths(self) -> None:
        # An id with a slash would store a pool's record under the key of another pool.
        for name in ("", "a/b", "a b", "../x", "x" * 65, "\u00e9"):
            plan = a_plan(id=PlanId(name))
            self.assertIn("plans[0].id", paths(changed(plans=(plan, a_plan("spare")))))

    def test_stops_need_hosts(self) -> None:
        stops = (
            PlannedStop(StopId("a"), ()),
            PlannedStop(StopId("b"), (HostId("h1"), HostId("h1"))),
            PlannedStop(StopId("b"), (HostId("h1"),), reason="x" * 501),
        )
        found = paths(changed(stops=stops))
        self.assertEqual(
            {"stops[0].hosts", "stops[1].hosts", "stops[2].id", "stops[2].reason"}, set(found)
        )
        self.assertEqual(["stops"], paths(changed(stops=stops), Severity.WARNING))

    def test_a_budget_above_the_hosts_owed_is_an_error_and_none_a_warning(self) -> None:
        over = (a_plan(availability_budget=3), a_plan("spare"))
        self.assertEqual(["plans[0].availability_budget"], paths(changed(plans=over)))
        none = (a_plan(availability_budget=0), a_plan("spare"))
        self.assertEqual([], paths(changed(plans=none)))
        self.assertEqual(
            ["plans[0].availability_budget"], paths(changed(plans=none), Severity.WARNING)
        )
