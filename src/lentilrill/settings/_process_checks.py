"""Validation of process settings beyond the types of single keys."""

import ipaddress
import re
from collections.abc import Callable, Iterator

import zmq

from lentilrill.numbers import decimal_in
from lentilrill.settings._process import (
    ControllerSettings,
    EntrySettings,
    GatewaySettings,
    ProcessSettings,
)

__all__ = ["problems_of", "problems_of_entry"]

DIGEST_PATTERN = re.compile(r"[0-9a-fA-F]{64}")
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65535

Problems = Iterator[str]


def problems_of(settings: ProcessSettings) -> tuple[str, ...]:
    """Return all errors, each as ``key.path: message``."""
    checks: tuple[Callable[[ProcessSettings], Problems], ...] = (
        _check_addresses,
        _check_keys,
        _check_heartbeats,
        _check_process,
    )
    return tuple(problem for check in checks for problem in check(settings))


def problems_of_entry(settings: EntrySettings) -> tuple[str, ...]:
    """Return all errors of an entry host's settings, each as ``key.path: message``."""
    checks = (_check_entry_names, _check_entry_addresses)
    return tuple(problem for check in checks for problem in check(settings))


def _check_entry_names(settings: EntrySettings) -> Problems:
    for name in ("process", "zone"):
        if not getattr(settings, name):
            yield f"{name}: must not be empty"


def _check_entry_addresses(settings: EntrySettings) -> Problems:
    path_by_address: dict[str, str] = {}
    for path in ("callers", "readiness", "inner", "metrics"):
        address = getattr(settings, path)
        yield from _check_address(path, address)
        if address in path_by_address:
            yield f"{path}: {address} is also the address of {path_by_address[address]}"
        path_by_address.setdefault(address, path)
    yield from _check_address("store.address", settings.store.address)
    for path in ("hosts_api", "advice"):
        if getattr(settings, path):
            yield from _check_address(path, getattr(settings, path))


def _check_addresses(settings: ProcessSettings) -> Problems:
    yield from _check_address("inner", settings.inner)
    if settings.inner_listen:
        yield from _check_address("inner_listen", settings.inner_listen)
    for n, seed in enumerate(settings.seeds):
        yield from _check_address(f"seeds[{n}]", seed)
    if settings.statsd:
        yield from _check_address("statsd", settings.statsd)
    if isinstance(settings, GatewaySettings | ControllerSettings):
        yield from _check_address("listen", settings.listen)
        yield from _check_address("platform.host_list", settings.platform.host_list)
        for n, address in enumerate(settings.platform.key_value):
            yield from _check_address(f"platform.key_value[{n}]", address)
        if settings.listen == (settings.inner_listen or settings.inner):
            yield f"listen: {settings.listen} is also the inner address"
    if isinstance(settings, GatewaySettings) and settings.forwards:
        yield from _check_address("forwards", settings.forwards)


def _check_address(path: str, address: str) -> Problems:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield f"{path}: {address!r} is not an IP address with a port"
        return
    if decimal_in(port, 1, MAX_PORT) is None:
        yield f"{path}: port of {address!r} is out of range: 1 to {MAX_PORT}"


def _check_keys(settings: ProcessSettings) -> Problems:
    try:
        derived = zmq.curve_public(settings.keys.secret.encode()).decode()
    except (zmq.ZMQError, ValueError, UnicodeError):
        yield "keys.secret: is not a CURVE key in Z85 text"
        return
    if derived != settings.keys.public:
        yield "keys.public: does not belong to keys.secret"


def _check_heartbeats(settings: ProcessSettings) -> Problems:
    if settings.suspect_after_s <= settings.heartbeat_s:
        yield (
            f"suspect_after_s: {settings.suspect_after_s} must be more than heartbeat_s "
            f"({settings.heartbeat_s}), or every peer becomes suspect between two heartbeats"
        )


def _check_process(settings: ProcessSettings) -> Problems:
    for name in ("process", "entry_host", "zone"):
        if not getattr(settings, name):
            yield f"{name}: must not be empty"
    if settings.log_level not in LOG_LEVELS:
        yield f"log_level: {settings.log_level!r} is not one of {', '.join(LOG_LEVELS)}"
    if isinstance(settings, ControllerSettings):
        yield from _check_operators(settings)


def _check_operators(settings: ControllerSettings) -> Problems:
    tokens = settings.operator_tokens_sha256
    if not tokens:
        yield "operator_tokens_sha256: names no operator, so no edit would be possible"
    operator_by_digest: dict[str, str] = {}
    for name, digest in tokens.items():
        path = f"operator_tokens_sha256.{name}"
        if not name:
            yield f"{path}: the name of the operator is empty"
        if not DIGEST_PATTERN.fullmatch(digest):
            yield f"{path}: must be a SHA-256 in 64 hex digits"
        elif digest.lower() in operator_by_digest:
            yield f"{path}: is the token of {operator_by_digest[digest.lower()]!r} as well"
        operator_by_digest.setdefault(digest.lower(), name)
