"""A controller's HTTP API for operators, served in this process on an in-memory platform."""

import msgspec
import urllib3

from lentilrill.fleet import FleetView
from lentilrill.ids import EntryHostId, Incarnation, ProcessId, Revision, ZoneId
from lentilrill.membership import Liveness, Role
from lentilrill.operators import MemberStatus, OperatorServer, Status
from lentilrill.settings import ControllerSettings, Document, PlatformSettings, encode_lists
from lentilrill.store import HostList, Mirror
from tests.builders import an_address, digest, inner_keys
from tests.fakes import FakeKeyValue

__all__ = ["ServedController", "a_member_status", "controller_settings", "lists_body"]

TOKEN = "token-of-asha"


def controller_settings(**changes: object) -> ControllerSettings:
    """Return controller settings with the operators asha and ben."""
    values = {
        "process": ProcessId("ct-1"),
        "entry_host": EntryHostId("entry-1"),
        "zone": ZoneId("z1"),
        "inner": an_address(),
        "keys": inner_keys(),
        "listen": an_address(),
        "platform": PlatformSettings((an_address(),), an_address()),
        "operator_tokens_sha256": {"asha": digest(TOKEN), "ben": digest("token-of-ben")},
    }
    return ControllerSettings(**values | changes)


def a_member_status(name: str, complete_to: int, **changes: object) -> MemberStatus:
    """Return the status of a live gateway that is complete to a revision."""
    values = {
        "process": ProcessId(name),
        "incarnation": Incarnation(1),
        "role": Role.GATEWAY,
        "zone": ZoneId("z1"),
        "entry_host": EntryHostId("entry-1"),
        "liveness": Liveness.ALIVE,
        "complete_to": Revision(complete_to),
    }
    return MemberStatus(**values | changes)


def lists_body(document: Document, base: int, **more: object) -> bytes:
    """Return the request body that applies the lists of ``document``."""
    plans, entitlements = encode_lists(document)
    body = {"base": base, "plans": msgspec.Raw(plans), "entitlements": msgspec.Raw(entitlements)}
    return msgspec.json.encode(body | more)


class ServedController:
    """An operator server with its dependencies; ``members`` and ``stops`` go into its status."""

    def __init__(self, kv: FakeKeyValue | None = None, host_list: HostList | None = None) -> None:
        self.kv = kv or FakeKeyValue()
        self.view = FleetView(Mirror())
        self.members = [a_member_status("gw-1", 10**9)]
        self.stops = ()
        self.settings = controller_settings()
        self.server = OperatorServer(
            self.settings,
            self.kv,
            self.view,
            self.status,
            host_list=host_list,
            resolve_timeout_s=0.3,
        )
        self.http = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=16)

    @property
    def address(self) -> str:
        """Address of the operators' HTTP API."""
        return self.settings.listen

    def status(self) -> Status:
        """Return the status that the server shows."""
        return Status(
            self.settings.process,
            self.settings.zone,
            self.view.document_revision,
            not self.kv.down,
            tuple(self.members),
            stops=self.stops,
        )

    def send(
        self, method: str, path: str, body: bytes | None = None, token: str = TOKEN
    ) -> tuple[int, dict]:
        """Send a request, and return the HTTP status and the JSON body."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        answer = self.http.request(
            method, f"http://{self.address}{path}", body=body, headers=headers
        )
        return answer.status, msgspec.json.decode(answer.data)
