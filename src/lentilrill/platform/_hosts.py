"""The platform's list of hosts, and orders to hosts."""

import msgspec
from returns.result import Failure, Result, Success

from lentilrill.faults import Fault, FaultKind
from lentilrill.ids import EndpointId, HostId, PoolId, ProcessId, ZoneId
from lentilrill.platform._endpoint_wire import decode_header
from lentilrill.store import DECODE_ERRORS, Effect, Transport
from lentilrill.upkeep import HostOrderResult, HostRow, HostState

__all__ = ["PlatformHosts"]

CALL_TIMEOUT_S = 1.0
MAX_PAGE_BYTES = 4 * 1024 * 1024
"""Maximum length of a page, of rows of some 200 bytes."""
MAX_PAGES = 1000
"""Maximum number of pages of one list; a list that goes on is none."""
MAX_ORDER_BYTES = 64 * 1024
"""Maximum length of the answer to an order, which is one short object."""
OK = 200
HOST_STATE_BY_VALUE = {state.value: state for state in HostState}
HOST_ORDER_BY_REASON = {
    "fence": HostOrderResult.FENCED,
    "busy": HostOrderResult.BUSY,
    "wave": HostOrderResult.REFUSED,
}


class _Host(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ""
    # Id of the endpoint on the host.
    id: str | None = None


class _Page(msgspec.Struct):
    machines: list[_Host]
    next_token: str | None = None


class PlatformHosts:
    """A :class:`~lentilrill.upkeep.HostCalls` on the platform's hosts interface.

    :param address: address of the interface.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._list_transport = Transport((address,), max_answer_bytes=MAX_PAGE_BYTES)

    def hosts(self) -> Result[tuple[HostRow, ...], Fault]:
        """Read the whole list, page by page."""
        rows: list[HostRow] = []
        token = ""
        for _ in range(MAX_PAGES):
            path = "/machines" + (f"?page_token={token}" if token else "")
            result = self._list_transport.request(
                "hosts.list", Effect.REPEATABLE, "GET", path, b"", CALL_TIMEOUT_S
            )
            if isinstance(result, Failure):
                return result
            status, data, peer = result.unwrap()
            if status != OK:
                reason = f"status {status}"
                return Failure(Fault("hosts.list", peer, FaultKind.UNAVAILABLE, reason))
            try:
                page = msgspec.json.decode(data, type=_Page)
            except DECODE_ERRORS as error:
                return Failure(Fault("hosts.list", peer, FaultKind.INVALID, str(error)))
            rows += [
                HostRow(
                    HostId(host.machine),
                    PoolId(host.pool),
                    HOST_STATE_BY_VALUE[host.state],
                    ZoneId(host.zone),
                    EndpointId(host.id or ""),
                )
                for host in page.machines
                if host.state in HOST_STATE_BY_VALUE
            ]
            if not page.next_token:
                return Success(tuple(rows))
            token = page.next_token
        reason = f"the list has more than {MAX_PAGES} pages"
        return Failure(Fault("hosts.list", self._address, FaultKind.INVALID, reason))

    def move(self, host: HostId, pool: PoolId, holder: ProcessId, token: int) -> HostOrderResult:
        """Move a host into another pool."""
        return self._send_order("/machine-move", {"machine": host, "pool": pool}, holder, token)

    def upkeep(self, host: HostId, wave: int, holder: ProcessId, token: int) -> HostOrderResult:
        """Send a host into upkeep."""
        return self._send_order("/machine-upkeep", {"machine": host, "wave": wave}, holder, token)

    def _send_order(
        self, path: str, body: dict[str, object], holder: ProcessId, token: int
    ) -> HostOrderResult:
        headers = {"Lease-Holder": str(holder), "Fencing-Token": str(token)}
        transport = Transport((self._address,), headers=headers, max_answer_bytes=MAX_ORDER_BYTES)
        result = transport.request(
            "hosts.order", Effect.ONCE, "POST", path, msgspec.json.encode(body), CALL_TIMEOUT_S
        )
        transport.close()
        if isinstance(result, Failure):
            unsent = result.failure().kind is FaultKind.UNAVAILABLE
            return HostOrderResult.LATER if unsent else HostOrderResult.UNKNOWN
        status, data, _ = result.unwrap()
        if status == OK:
            return HostOrderResult.DONE
        if status == 409:
            return HOST_ORDER_BY_REASON.get(decode_header(data).reason, HostOrderResult.REFUSED)
        if status in (429, 503):
            return HostOrderResult.LATER
        return HostOrderResult.REFUSED if 400 <= status < 500 else HostOrderResult.UNKNOWN
