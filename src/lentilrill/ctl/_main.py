"""The command line: parses arguments and environment, and runs one command."""

import argparse
import math
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from lentilrill.ctl import _commands as commands
from lentilrill.ctl import _generate as generate
from lentilrill.ctl._client import Client
from lentilrill.ctl._endpoints import endpoints
from lentilrill.ctl._exit import EXIT_HELP, Exit
from lentilrill.ctl._files import MAX_REVISION, UsageError, read_token
from lentilrill.ctl._workspaces import workspaces
from lentilrill.numbers import decimal_in
from lentilrill.operators import MAX_AUDIT_LIMIT

__all__ = ["main"]

CONTROLLERS_VARIABLE = "LENTILRILL_CONTROLLERS"
TOKEN_VARIABLE = "LENTILRILL_TOKEN"
DEFAULT_WAIT_S = 10.0
DEFAULT_AUDIT_LIMIT = 20

EPILOG = f"""\
environment:
  {CONTROLLERS_VARIABLE}  controllers' addresses, with commas between, if --controller is not given
  {TOKEN_VARIABLE}        the operator's token, if --token-file is not given

examples:
  export {CONTROLLERS_VARIABLE}=10.0.1.11:8081,10.0.2.11:8081
  lentilrillctl --token-file ~/.lentilrill-token status
  lentilrillctl config show --to lists      # writes lists/plans.json and lists/entitlements.json
  lentilrillctl config diff lists           # after editing them
  lentilrillctl config apply lists          # waits until they are in force everywhere
  lentilrillctl stop declare june-rack4 --host w17 --host w18 --reason "new switch"
  lentilrillctl stop list
  lentilrillctl audit --limit 5

{EXIT_HELP}"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command.

    :return: the exit code, see :class:`Exit`.
    """
    options = _parser().parse_args(argv)
    try:
        client = Client(_controllers(options), _token(options))
        exit_code: Exit = options.run(client, options)
    except UsageError as error:
        print(f"lentilrillctl: {error}", file=sys.stderr)
        return Exit.USAGE
    except BrokenPipeError:
        # The reader closed the pipe, as `head` does. Redirecting stdout to /dev/null avoids another
        # error when the interpreter flushes it at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return Exit.DONE
    except KeyboardInterrupt:
        print("interrupted; 'lentilrillctl audit' tells what was accepted", file=sys.stderr)
        return Exit.UNKNOWN
    return exit_code


def _controllers(options: argparse.Namespace) -> list[str]:
    given = options.controller or os.environ.get(CONTROLLERS_VARIABLE, "").split(",")
    addresses = [address.strip() for address in given if address.strip()]
    if not addresses and not getattr(options, "offline", False):
        raise UsageError(f"no controller given: use --controller or {CONTROLLERS_VARIABLE}")
    return addresses


def _token(options: argparse.Namespace) -> str:
    if options.token_file is not None:
        return read_token(options.token_file)
    return os.environ.get(TOKEN_VARIABLE, "").strip()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="lentilrillctl",
        description="Edit lentilrill's configuration, declare planned stops, and see the fleet.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(controller=None, token_file=None)
    _add_connection_options(parser)
    subjects = parser.add_subparsers(dest="subject", required=True, metavar="COMMAND")
    _add_config(subjects)
    _add_stop(subjects)
    _add_command(subjects, "status", commands.status, "show pools, processes and planned stops")
    hosts = _add_command(subjects, "hosts", commands.hosts, "list hosts with their pools")
    hosts.add_argument("--pool", help="only hosts of this pool")
    _add_of_entry_hosts(subjects, "workspaces", workspaces, "show what workspaces use and submit")
    _add_of_entry_hosts(
        subjects, "endpoints", endpoints, "show how fast endpoints work, and by what evidence"
    )
    audit = _add_command(subjects, "audit", commands.audit, "show who changed what")
    audit.add_argument(
        "--limit",
        type=_audit_limit,
        default=DEFAULT_AUDIT_LIMIT,
        metavar="N",
        help="newest N edits",
    )
    _add_generate(subjects)
    return parser


def _add_generate(subjects: argparse._SubParsersAction) -> None:
    group = subjects.add_parser("generate", help="generate secrets; needs no controller")
    verbs = group.add_subparsers(dest="verb", required=True, metavar="VERB")
    for name, run, text in (
        ("token", generate.token, "print a new token and its SHA-256"),
        ("keys", generate.keys, "print a new CURVE key pair for the processes' settings"),
    ):
        command = _add_command(verbs, name, run, text)
        command.set_defaults(offline=True)


def _add_config(subjects: argparse._SubParsersAction) -> None:
    group = subjects.add_parser("config", help="plans, and what each plan may use")
    verbs = group.add_subparsers(dest="verb", required=True, metavar="VERB")
    show = _add_command(verbs, "show", commands.config_show, "print the configuration in force")
    show.add_argument(
        "--to", type=Path, metavar="DIR", help="write the two lists to this folder for editing"
    )
    check = _add_command(verbs, "check", commands.config_check, "report every error in two lists")
    check.add_argument("--offline", action="store_true", help="check without a controller")
    diff = _add_command(verbs, "diff", commands.config_diff, "show what two lists would change")
    apply = _add_command(verbs, "apply", commands.config_apply, "put two lists in force")
    apply.add_argument(
        "--base",
        type=_revision,
        metavar="REVISION",
        help="revision the lists were edited from (default: the file DIR/revision, else 0)",
    )
    for command in (check, diff, apply):
        command.add_argument(
            "folder", type=Path, metavar="DIR", help="folder of plans.json and entitlements.json"
        )
    _add_wait_options(apply)


def _add_stop(subjects: argparse._SubParsersAction) -> None:
    group = subjects.add_parser("stop", help="planned stops")
    verbs = group.add_subparsers(dest="verb", required=True, metavar="VERB")
    declare = _add_command(
        verbs, "declare", commands.declare_stop, "declare a planned stop of hosts"
    )
    declare.add_argument("id", metavar="ID", help="an id for the stop")
    declare.add_argument(
        "--host", dest="hosts", action="append", required=True, metavar="HOST", help="repeat it"
    )
    declare.add_argument("--retire", action="store_true", help="the hosts are removed permanently")
    declare.add_argument("--reason", default="", help="shown in status and audit")
    cancel = _add_command(verbs, "cancel", commands.cancel_stop, "cancel a planned stop")
    cancel.add_argument("id", metavar="ID")
    for command in (declare, cancel):
        _add_wait_options(command)
    _add_command(verbs, "list", commands.list_stops, "list planned stops and their progress")


def _add_of_entry_hosts(
    subjects: argparse._SubParsersAction, name: str, run: object, text: str
) -> None:
    """Add a command that asks entry hosts instead of a controller."""
    command = _add_command(subjects, name, run, text)
    command.add_argument(
        "--entry-host",
        dest="entry_hosts",
        action="append",
        required=True,
        metavar="ADDR",
        help="metrics address (ip:port) of an entry host; repeat it for the owners of all pools",
    )
    command.set_defaults(offline=True)


def _add_command(
    verbs: argparse._SubParsersAction, name: str, run: object, text: str
) -> argparse.ArgumentParser:
    command: argparse.ArgumentParser = verbs.add_parser(
        name,
        help=text,
        description=text[0].upper() + text[1:] + ".",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.add_argument("--json", action="store_true", help="print the answer as JSON")
    command.set_defaults(run=run)
    _add_connection_options(command)
    return command


def _add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that are accepted both before and after the command.

    They have no defaults: the default of a command would override a value given before it.
    """
    parser.add_argument(
        "--controller",
        action="append",
        metavar="ADDR",
        default=argparse.SUPPRESS,
        help="address (ip:port) of a controller; repeat it for failover if one is unreachable",
    )
    parser.add_argument(
        "--token-file",
        type=Path,
        metavar="FILE",
        default=argparse.SUPPRESS,
        help="file with the operator's token",
    )


def _add_wait_options(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--wait",
        type=_seconds,
        default=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help=f"how long to wait until it is in force everywhere (default: {DEFAULT_WAIT_S:.0f})",
    )
    command.add_argument("--no-wait", action="store_true", help="return as soon as it is accepted")


def _audit_limit(text: str) -> int:
    value = decimal_in(text, 1, MAX_AUDIT_LIMIT)
    if value is None:
        raise argparse.ArgumentTypeError(f"must be a number from 1 to {MAX_AUDIT_LIMIT}")
    return value


def _revision(text: str) -> int:
    value = decimal_in(text, 0, MAX_REVISION)
    if value is None:
        raise argparse.ArgumentTypeError("must be a revision, a number from 0 on")
    return value


def _seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise argparse.ArgumentTypeError("must be a number of seconds")
    return value
