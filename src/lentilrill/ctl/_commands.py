"""Commands: each sends its requests, prints the result and returns the exit code."""

import argparse
import uuid
from http import HTTPStatus

import msgspec
from returns.result import Failure

from lentilrill.ctl import _show as show
from lentilrill.ctl._client import UNREACHABLE, Client
from lentilrill.ctl._exit import Exit
from lentilrill.ctl._files import ListFiles
from lentilrill.ctl._propagation import wait_until_in_force
from lentilrill.ctl._show_status import status_lines, stop_lines
from lentilrill.ids import HostId, StopId
from lentilrill.operators import (
    ApplyBody,
    CheckAnswer,
    CheckBody,
    EditAnswer,
    EditVerdict,
    Problem,
    StopBody,
)
from lentilrill.settings import Finding, check, decode_lists, errors_of

__all__ = [
    "audit",
    "cancel_stop",
    "config_apply",
    "config_check",
    "config_diff",
    "config_show",
    "declare_stop",
    "hosts",
    "list_stops",
    "status",
]


def config_show(client: Client, options: argparse.Namespace) -> Exit:
    """Print the document, or write it to the two list files."""
    result = client.config()
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    answer = result.unwrap()
    note = "" if answer.fresh else " (the platform is away; this is the controller's copy)"
    if options.to is not None:
        ListFiles.of(options.to).write(answer.document, answer.revision)
        show.print_lines([f"revision {answer.revision} written to {options.to}{note}"])
    elif options.json:
        show.print_json(answer)
    else:
        show.print_lines([f"revision {answer.revision}{note}"])
        show.print_json(answer.document)
    return Exit.DONE


def config_check(client: Client, options: argparse.Namespace) -> Exit:
    """Check two list files, locally or by a controller that compares them with the fleet."""
    if options.offline:
        return _check_offline(options)
    result = _request_check(client, options)
    if isinstance(result, Problem):
        return _report_problem(result, options)
    if options.json:
        show.print_json(result)
    else:
        verdict = "no errors" if result.valid else "errors"
        show.print_lines([f"checked against revision {result.revision}: {verdict}"])
        show.print_lines(show.finding_lines(result.findings))
    return Exit.DONE if result.valid else Exit.REFUSED


def config_diff(client: Client, options: argparse.Namespace) -> Exit:
    """Print what two list files would change."""
    result = _request_check(client, options)
    if isinstance(result, Problem):
        return _report_problem(result, options)
    if options.json:
        show.print_json(result)
    elif not result.valid and not result.differences:
        show.print_lines(show.finding_lines(result.findings))
    elif not result.differences:
        show.print_lines([f"no difference from revision {result.revision}"])
    else:
        show.print_lines([f"would change in revision {result.revision}:"])
        show.print_lines(show.difference_lines(result.differences))
    return Exit.DONE if result.valid else Exit.REFUSED


def config_apply(client: Client, options: argparse.Namespace) -> Exit:
    """Apply two list files, and wait until they are in force everywhere."""
    files = ListFiles.of(options.folder)
    plans, entitlements = files.read()
    base = files.base() if options.base is None else options.base
    body = ApplyBody(base, msgspec.Raw(plans), msgspec.Raw(entitlements), str(uuid.uuid4()))
    result = client.apply(body)
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    answer = result.unwrap()
    files.write_base(answer.revision)
    return _finish_edit(client, answer, options)


def declare_stop(client: Client, options: argparse.Namespace) -> Exit:
    """Declare a planned stop, and wait until it is in force everywhere."""
    hosts = tuple(HostId(host) for host in options.hosts)
    result = client.declare_stop(
        StopBody(StopId(options.id), hosts, options.retire, options.reason)
    )
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    return _finish_edit(client, result.unwrap(), options)


def cancel_stop(client: Client, options: argparse.Namespace) -> Exit:
    """Cancel a planned stop, and wait until that is in force everywhere."""
    result = client.cancel_stop(options.id)
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    return _finish_edit(client, result.unwrap(), options)


def list_stops(client: Client, options: argparse.Namespace) -> Exit:
    """List planned stops and their progress."""
    result = client.status()
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    stops = result.unwrap().stops
    if options.json:
        show.print_json(stops)
    else:
        show.print_lines(stop_lines(stops) if stops else ["no planned stops"])
    return Exit.DONE


def status(client: Client, options: argparse.Namespace) -> Exit:
    """Print the status of the fleet and of the system's own processes."""
    result = client.status()
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    if options.json:
        show.print_json(result.unwrap())
    else:
        show.print_lines(status_lines(result.unwrap()))
    return Exit.DONE


def hosts(client: Client, options: argparse.Namespace) -> Exit:
    """List hosts with their pools."""
    result = client.hosts()
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    rows = [row for row in result.unwrap().hosts if options.pool in (None, row.pool)]
    if options.json:
        show.print_json(rows)
    else:
        show.print_lines(show.host_lines(rows) if rows else ["no hosts"])
    return Exit.DONE


def audit(client: Client, options: argparse.Namespace) -> Exit:
    """Print the newest edits."""
    result = client.audit(options.limit)
    if isinstance(result, Failure):
        return _report_problem(result.failure(), options)
    entries = result.unwrap().entries
    if options.json:
        show.print_json(entries)
    else:
        show.print_lines(show.audit_lines(entries) if entries else ["no edits yet"])
    return Exit.DONE


def _request_check(client: Client, options: argparse.Namespace) -> CheckAnswer | Problem:
    plans, entitlements = ListFiles.of(options.folder).read()
    result = client.check(CheckBody(msgspec.Raw(plans), msgspec.Raw(entitlements)))
    return result.failure() if isinstance(result, Failure) else result.unwrap()


def _check_offline(options: argparse.Namespace) -> Exit:
    plans, entitlements = ListFiles.of(options.folder).read(allow_invalid_json=True)
    decoded = decode_lists(plans, entitlements)
    findings: tuple[Finding, ...]
    findings = decoded.failure() if isinstance(decoded, Failure) else check(decoded.unwrap())
    if options.json:
        show.print_json(findings)
    else:
        show.print_lines(show.finding_lines(findings) or ["no errors"])
    return Exit.REFUSED if errors_of(findings) else Exit.DONE


def _finish_edit(client: Client, answer: EditAnswer, options: argparse.Namespace) -> Exit:
    if options.json:
        show.print_json(answer)
    else:
        show.print_lines(show.edit_lines(answer))
    if options.no_wait:
        return Exit.DONE
    return wait_until_in_force(client, answer.revision, options.wait)


def _report_problem(problem: Problem, options: argparse.Namespace) -> Exit:
    if options.json:
        show.print_json(problem)
    else:
        show.print_lines(show.problem_lines(problem), to_stderr=True)
    if problem.verdict is EditVerdict.UNKNOWN:
        return Exit.UNKNOWN
    if problem.status == HTTPStatus.CONFLICT:
        return Exit.CONFLICT
    if problem.type == UNREACHABLE or problem.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Exit.UNREACHABLE
    return Exit.REFUSED
