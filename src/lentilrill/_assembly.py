"""Assembly of a gateway process and of a controller process from their parts."""

import time

from lentilrill._status import status
from lentilrill.fleet import FleetReport, FleetTask, FleetView
from lentilrill.gateway import GatewayServer
from lentilrill.gossip import Heartbeats, Watcher, ZoneRecorder
from lentilrill.ids import Incarnation, Revision
from lentilrill.inner import Node
from lentilrill.jobs import ClaimClient, ClaimOwner
from lentilrill.membership import Member, MembershipTracker, Role, should_drain
from lentilrill.operators import OperatorServer
from lentilrill.routing import Routing
from lentilrill.settings import ControllerSettings, GatewaySettings, ProcessSettings
from lentilrill.store import CallBudget, EtcdKeyValue, HttpHostList, Mirror
from lentilrill.telemetry import Event, Metrics, connect, log

__all__ = ["ControllerProcess", "GatewayProcess"]

ZONE_SILENT_FACTOR = 2.5
"""Other zones' statuses arrive by gossip, a few heartbeats later than heartbeats of peers."""

MAX_REPORT_AGE_S = 1.0


class _SharedParts:
    """Parts that both kinds of process have: node, mirror, members and metrics."""

    def __init__(self, settings: ProcessSettings, role: Role, http: str) -> None:
        self.metrics: Metrics = connect(settings.statsd, settings.process)
        self.member = Member(
            settings.process,
            Incarnation(time.time_ns()),
            role,
            settings.zone,
            settings.entry_host,
            settings.inner,
            http,
        )
        self.node = Node(
            settings.process,
            self.member.incarnation,
            settings.inner,
            settings.keys,
            self.metrics,
            settings.inner_listen,
        )
        self.mirror = Mirror()
        self.view = FleetView(self.mirror)
        self.view.subscribe(self._log_document)
        self._logged_revision = Revision(0)
        self.membership = MembershipTracker(
            self.member,
            lambda: self.view.zones_by_id,
            settings.suspect_after_s,
            settings.suspect_after_s * ZONE_SILENT_FACTOR,
        )

    def _log_document(self) -> None:
        revision = self.view.document_revision
        if revision != self._logged_revision:
            self._logged_revision = revision
            log(Event.DOCUMENT_IN_FORCE, revision=revision)


class GatewayProcess:
    """The request path of one entry host."""

    def __init__(self, settings: GatewaySettings) -> None:
        common = _SharedParts(settings, Role.GATEWAY, settings.forwards or settings.listen)
        self._node = common.node
        self._heartbeats = Heartbeats(
            settings,
            common.node,
            common.mirror,
            common.membership,
            common.metrics,
            is_drained=lambda: self._server.drained,
        )
        self._routing = Routing(common.node, common.view, common.membership, metrics=common.metrics)
        self._claims = ClaimClient(
            common.node, common.membership, settings.claim_shards, settings.claim_retention_s
        )
        self._claim_owner = ClaimOwner(
            common.node,
            common.membership,
            EtcdKeyValue(settings.platform, common.metrics),
            common.metrics,
            settings.claim_shards,
            settings.claim_retention_s,
            writes_per_s=settings.platform.calls_per_s / 2,
        )
        self._server = GatewayServer(
            settings,
            common.view,
            self._routing.slots,
            self._claims,
            common.metrics,
            lambda: self._routing.ledger.may_send,
            must_drain=lambda: should_drain(
                common.member,
                common.membership.alive(Role.GATEWAY, settings.zone),
                {host for stop in common.view.document.stops for host in stop.hosts},
            ),
        )

    def start(self) -> None:
        """Start serving."""
        self._node.start()
        self._heartbeats.start()
        self._routing.start()
        self._claim_owner.start()
        self._claims.start()
        self._server.start()

    def drain(self) -> None:
        """Finish the requests in flight, then shut down."""
        finished = self._server.drain()
        self._server.close()
        self._claims.close()
        self._claim_owner.close()
        self._routing.close()
        self._heartbeats.close(is_clean=finished)
        self._node.close()


class ControllerProcess:
    """The fleet path of one entry host."""

    def __init__(self, settings: ControllerSettings) -> None:
        common = _SharedParts(settings, Role.CONTROLLER, settings.listen)
        budget = CallBudget(settings.platform.calls_per_s)
        kv = EtcdKeyValue(settings.platform, common.metrics, budget=budget)
        hosts = HttpHostList(settings.platform, common.metrics, budget=budget)
        self._node = common.node
        self._watcher = Watcher(kv, common.mirror, common.membership, common.node, common.metrics)
        self._heartbeats = Heartbeats(
            settings,
            common.node,
            common.mirror,
            common.membership,
            common.metrics,
            lambda: self._watcher.platform_ok,
            lambda: self._fleet.zone_trouble(time.time()),
        )
        self._recorder = ZoneRecorder(
            kv,
            hosts,
            common.membership,
            lambda: common.view.zones_by_id,
            self._watcher.publish,
            settings.host_list_lag_s,
            common.metrics,
        )
        self._fleet = FleetTask(
            kv,
            hosts,
            common.view,
            common.membership,
            settings,
            common.node,
            common.metrics,
        )
        self._operators = OperatorServer(
            settings,
            kv,
            common.view,
            lambda: status(
                common.membership, common.view, self._fleet_report(), self._watcher.platform_ok
            ),
            common.metrics,
            hosts,
            publish=self._watcher.publish,
        )

    def _fleet_report(self) -> FleetReport:
        """Return a report that is at most ``MAX_REPORT_AGE_S`` old.

        It is cached, since waiting clients request it several times a second.
        """
        report = self._fleet.report
        if time.time() - report.now > MAX_REPORT_AGE_S:
            report = self._fleet.current_report()
        return report

    def start(self) -> None:
        """Start serving."""
        self._node.start()
        self._heartbeats.start()
        self._watcher.start()
        self._recorder.start()
        self._fleet.start()
        self._operators.start()

    def drain(self) -> None:
        """Stop the tasks, then shut down."""
        self._operators.drain()
        self._operators.stop()
        self._fleet.close()
        self._recorder.close()
        self._watcher.close()
        self._heartbeats.close()
        self._node.close()
