"""Request handlers of the operators' HTTP API."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

import msgspec
from returns.result import Failure

from lentilrill.fleet import FleetView
from lentilrill.ids import Revision, StopId
from lentilrill.numbers import decimal_in
from lentilrill.operators._answers import (
    ApplyBody,
    AuditAnswer,
    CheckAnswer,
    CheckBody,
    ConfigAnswer,
    EditAnswer,
    HostRow,
    HostsAnswer,
    StopBody,
)
from lentilrill.operators._audit import MAX_AUDIT_LIMIT, AuditTrail
from lentilrill.operators._capacity import check_capacity
from lentilrill.operators._diff import diff_documents
from lentilrill.operators._editing import Editor
from lentilrill.operators._outcomes import EditOutcome
from lentilrill.operators._problems import Reply, edit_problem, fault_problem, problem
from lentilrill.operators._records import EditVerdict
from lentilrill.operators._status import Status
from lentilrill.operators._store import DocumentStore, Head
from lentilrill.settings import (
    Document,
    Finding,
    PlannedStop,
    Severity,
    check,
    decode_lists,
    errors_of,
)
from lentilrill.store import HostList
from lentilrill.telemetry import Metrics

__all__ = ["Api", "Request"]

DEFAULT_AUDIT_LIMIT = 50


class Request(msgspec.Struct, frozen=True):
    """A request of an authenticated operator.

    :param who: the operator's name.
    :param tail: rest of the path after the prefix, for routes that match a prefix.
    """

    who: str
    body: bytes = b""
    tail: str = ""
    query: dict[str, str] = {}


class Api:
    """Handlers of the operators' HTTP API."""

    def __init__(
        self,
        store: DocumentStore,
        editor: Editor,
        audit: AuditTrail,
        view: FleetView,
        status: Callable[[], Status],
        metrics: Metrics,
        host_list: HostList | None = None,
    ) -> None:
        self._store = store
        self._editor = editor
        self._audit = audit
        self._view = view
        self._status = status
        self._metrics = metrics
        self._host_list = host_list

    def config(self, _request: Request) -> Reply:
        """Return the document from the platform, or this controller's copy if that fails."""
        read = self._store.head()
        fresh = not isinstance(read, Failure)
        head = read.value_or(self._cached_head())
        return Reply(HTTPStatus.OK, ConfigAnswer(head.revision, fresh, head.document))

    def check(self, request: Request) -> Reply:
        """Check two lists without applying them."""
        body = msgspec.json.decode(request.body, type=CheckBody)
        head = self._store.head().value_or(self._cached_head())
        decoded = decode_lists(bytes(body.plans), bytes(body.entitlements))
        if isinstance(decoded, Failure):
            answer = CheckAnswer(False, head.revision, decoded.failure(), ())
            return Reply(HTTPStatus.OK, answer)
        document = msgspec.structs.replace(decoded.unwrap(), stops=head.document.stops)
        findings = check(document)
        answer = CheckAnswer(
            not errors_of(findings),
            head.revision,
            findings + self._capacity_findings(document),
            diff_documents(head.document, document),
        )
        return Reply(HTTPStatus.OK, answer)

    def apply(self, request: Request) -> Reply:
        """Replace the lists that are in force."""
        body = msgspec.json.decode(request.body, type=ApplyBody)
        decoded = decode_lists(bytes(body.plans), bytes(body.entitlements))
        if isinstance(decoded, Failure):
            found = decoded.failure()
            return self._edit_reply(EditOutcome(EditVerdict.INVALID, body.write_id, findings=found))
        lists = decoded.unwrap()
        outcome = self._editor.apply(request.who, lists, Revision(body.base), body.write_id)
        return self._edit_reply(outcome, lists)

    def declare_stop(self, request: Request) -> Reply:
        """Declare a planned stop."""
        body = msgspec.json.decode(request.body, type=StopBody)
        stop = PlannedStop(body.id, body.hosts, body.retire, body.reason)
        outcome = self._editor.declare_stop(request.who, stop)
        return self._edit_reply(outcome, Document(stops=(stop,)))

    def cancel_stop(self, request: Request) -> Reply:
        """Cancel a planned stop."""
        return self._edit_reply(
            self._editor.cancel_stop(request.who, StopId(unquote(request.tail)))
        )

    def status(self, _request: Request) -> Reply:
        """Return the status of the fleet and of the system's processes."""
        return Reply(HTTPStatus.OK, self._status())

    def hosts(self, _request: Request) -> Reply:
        """Return every host with its pool."""
        rows = [
            HostRow(
                entry.id,
                pool,
                entry.phase,
                entry.zone,
                entry.rack,
                entry.address,
                entry.target,
                entry.stop,
            )
            for pool, entry in self._view.hosts_by_id.values()
        ]
        rows.sort(key=lambda row: (row.pool, row.id))
        return Reply(HTTPStatus.OK, HostsAnswer(tuple(rows)))

    def audit(self, request: Request) -> Reply:
        """Return the newest edits."""
        text = request.query.get("limit", str(DEFAULT_AUDIT_LIMIT))
        limit = decimal_in(text, 1, MAX_AUDIT_LIMIT)
        if limit is None:
            detail = f"limit must be a number from 1 to {MAX_AUDIT_LIMIT}"
            return problem(HTTPStatus.BAD_REQUEST, "bad-request", detail)
        read = self._store.head().bind(
            lambda head: self._audit.newest_edits(head.document.edit, limit)
        )
        if isinstance(read, Failure):
            return fault_problem(read.failure())
        return Reply(HTTPStatus.OK, AuditAnswer(read.unwrap()))

    def _cached_head(self) -> Head:
        return Head(self._view.document, self._view.document_revision)

    def _edit_reply(self, outcome: EditOutcome, document: Document | None = None) -> Reply:
        self._metrics.incr(f"operators.edits.{outcome.verdict.value}")
        if outcome.verdict not in (EditVerdict.ACCEPTED, EditVerdict.UNCHANGED):
            return edit_problem(outcome)
        warnings = outcome.findings
        if document is not None:
            warnings += self._capacity_findings(document)
        answer = EditAnswer(
            outcome.verdict,
            outcome.revision or Revision(0),
            outcome.number,
            outcome.write_id,
            outcome.differences,
            warnings,
            outcome.message,
        )
        return Reply(HTTPStatus.OK, answer)

    def _capacity_findings(self, document: Document) -> tuple[Finding, ...]:
        if self._host_list is None:
            return ()
        listing = self._host_list.hosts()
        if isinstance(listing, Failure):
            message = f"hosts owed were not compared with the host list: {listing.failure()}"
            return (Finding(Severity.WARNING, "hosts", message),)
        return check_capacity(document, listing.unwrap())
