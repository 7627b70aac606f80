"""The faults of the matrix: how each one is started and ended, and how long it lasts."""

import signal
import threading
from collections.abc import Callable

import msgspec

from standins.site import HostSpec
from tests.matrix._world import World

__all__ = ["INJECTIONS", "PAIRS", "Injection"]

KILL_DURATION_S = 4.5
PAUSE_DURATION_S = 5.0
"""Longer than the time without heartbeats until a process is suspect, and than its lease."""
PLATFORM_FAULT_DURATION_S = 2.5
ENDPOINT_FAULT_DURATION_S = 1.5
NETWORK_FAULT_DURATION_S = 11.0
"""Longer than the time without heartbeats until members of another zone are suspect."""
NO_PLATFORM_FAULTS = {
    "down": False,
    "slow_s": 0.0,
    "lose_answers": 0,
    "stale": False,
    "silent_watch": False,
    "cut": [],
}
NO_ENDPOINT_FAULTS = {
    "fail": False,
    "truncate": 0,
    "silent": False,
    "leaving": False,
    "slow_s": 0.0,
    "reset": False,
    "lose_answers": 0,
    "twice": False,
}


class Injection(msgspec.Struct, frozen=True):
    """One fault.

    :param begin: starts the fault.
    :param midway: called after the step's own actions under the fault.
    :param end: ends the fault.
    :param affected_processes: processes that are killed or paused, whose callers may see failures.
    :param duration_s: seconds between begin and end.
    :param affects_endpoint_jobs: whether jobs of the affected endpoint may fail.
    :param relayed: whether it needs a site whose zones are connected by the relay.
    :param not_run_reason: reason why it cannot be injected; its cells count as not run.
    """

    name: str
    begin: Callable[[World], None] = lambda world: None
    midway: Callable[[World], None] = lambda world: None
    end: Callable[[World], None] = lambda world: None
    affected_processes: tuple[str, ...] = ()
    duration_s: float = 0.0
    affects_endpoint_jobs: bool = False
    relayed: bool = False
    not_run_reason: str = ""

    def keep_active(self, world: World) -> None:
        """Keep the fault active for its duration."""
        self.midway(world)
        threading.Event().wait(self.duration_s)


def endpoint_host(world: World) -> HostSpec:
    """Return the worker whose endpoint is affected: the first of schools in zone 1."""
    phases = world.phases() or world.phases("ct-2-1")
    zone_1 = (host for host in world.site.spec.hosts if host.zone == 1)
    candidates = (host for host in zone_1 if phases.get(host.id, ("",))[0] == "schools")
    return next(candidates, world.site.spec.hosts[0])


def _kill(name: str) -> Injection:
    return Injection(
        f"kill {name}",
        lambda world: world.site.kill(name),
        end=lambda world: world.site.start(name),
        affected_processes=(name,),
        duration_s=KILL_DURATION_S,
    )


def _pause(name: str) -> Injection:
    return Injection(
        f"pause {name} past its lease",
        lambda world: world.site.signal(name, signal.SIGSTOP),
        end=lambda world: world.site.signal(name, signal.SIGCONT),
        affected_processes=(name,),
        duration_s=PAUSE_DURATION_S,
    )


def _platform(name: str, **faults: object) -> Injection:
    return Injection(
        name,
        lambda world: world.site.set_faults(world.site.control_address, **faults),
        end=lambda world: world.site.set_faults(world.site.control_address, **NO_PLATFORM_FAULTS),
        duration_s=PLATFORM_FAULT_DURATION_S,
    )


def _cut(zone: int) -> Injection:
    return Injection(
        f"zone {zone} cut off from the platform",
        lambda world: world.site.set_faults(
            world.site.control_address, cut=[world.site.platform_address(zone)]
        ),
        end=lambda world: world.site.set_faults(world.site.control_address, **NO_PLATFORM_FAULTS),
        duration_s=PLATFORM_FAULT_DURATION_S,
    )


def _endpoint(name: str, **faults: object) -> Injection:
    return Injection(
        f"endpoint {name}",
        lambda world: world.site.set_faults(
            world.site.endpoint_address(endpoint_host(world)), **faults
        ),
        end=_clear_endpoints,
        duration_s=ENDPOINT_FAULT_DURATION_S,
        affects_endpoint_jobs=True,
    )


def _clear_endpoints(world: World) -> None:
    for host in world.site.spec.hosts:
        world.site.set_faults(world.site.endpoint_address(host), **NO_ENDPOINT_FAULTS)


def _pair(one: Injection, other: Injection) -> Injection:
    return Injection(
        f"{one.name} + {other.name}",
        lambda world: _call_all(world, one.begin, other.begin),
        lambda world: _call_all(world, one.midway, other.midway),
        lambda world: _call_all(world, other.end, one.end),
        one.affected_processes + other.affected_processes,
        max(one.duration_s, other.duration_s),
        one.affects_endpoint_jobs or other.affects_endpoint_jobs,
        one.relayed or other.relayed,
    )


def _network(name: str, **faults: object) -> Injection:
    return Injection(
        name,
        lambda world: world.site.set_faults(world.site.relay_control_address, **faults),
        end=lambda world: world.site.set_faults(world.site.relay_control_address),
        duration_s=NETWORK_FAULT_DURATION_S,
        relayed=True,
    )


def _call_all(world: World, *actions: Callable[[World], None]) -> None:
    for action in actions:
        action(world)


def _restart(*names: str) -> Injection:
    def midway(world: World) -> None:
        for name in names:
            world.site.kill(name)
            world.site.start(name)

    name = f"restart of {' and '.join(names)}"
    return Injection(name, midway=midway, affected_processes=names, duration_s=KILL_DURATION_S)


NO_FAULT = Injection("none", duration_s=0.5)
KILL_GATEWAY = _kill("gw-1-1")
KILL_NEIGHBOUR = _kill("gw-1-2")
KILL_CONTROLLER = _kill("ct-1-1")
PAUSE_GATEWAY = _pause("gw-1-1")
PAUSE_NEIGHBOUR = _pause("gw-1-2")
PAUSE_CONTROLLER = _pause("ct-1-1")
RESTART_CONTROLLERS = _restart("ct-1-1", "ct-1-2")
DOWN = _platform("platform down", down=True)
SLOW = _platform("platform slow by 1 s", slow_s=1.0)
STALE = _platform("platform stale", stale=True)
LOST = _platform("platform's next 3 answers lost", lose_answers=3)
SILENT_WATCH = _platform("platform's watches silent", silent_watch=True)
CUT = _cut(1)
FAILING = _endpoint("fails everything", fail=True)
LATE = _endpoint("late by 1 s", slow_s=1.0)
TWICE = _endpoint("answers twice", twice=True)
TRUNCATING = _endpoint("truncates 5 answers", truncate=5)
LOSING = _endpoint("loses 5 answers", lose_answers=5)
RESETTING = _endpoint("resets connections", reset=True)
SILENT = _endpoint("silent on all connections", silent=True)
LEAVING = _endpoint("leaving", leaving=True)
ZONES_CUT = _network("zones cut off from each other", cut=[(1, 2)])
ZONES_LATE = _network("between zones all is late by 1 s", late_s=1.0)

INJECTIONS = (
    NO_FAULT,
    KILL_GATEWAY,
    KILL_NEIGHBOUR,
    KILL_CONTROLLER,
    PAUSE_GATEWAY,
    PAUSE_NEIGHBOUR,
    PAUSE_CONTROLLER,
    DOWN,
    SLOW,
    STALE,
    LOST,
    SILENT_WATCH,
    CUT,
    ZONES_CUT,
    ZONES_LATE,
    FAILING,
    LATE,
    TWICE,
    TRUNCATING,
    LOSING,
    RESETTING,
    SILENT,
    LEAVING,
)
PAIRS = (
    _pair(DOWN, KILL_NEIGHBOUR),
    _pair(DOWN, KILL_CONTROLLER),
    _pair(DOWN, RESTART_CONTROLLERS),
    _pair(STALE, RESTART_CONTROLLERS),
    _pair(CUT, SILENT),
    _pair(CUT, ZONES_CUT),
    _pair(LOST, PAUSE_CONTROLLER),
    _pair(KILL_NEIGHBOUR, FAILING),
    _pair(PAUSE_GATEWAY, SLOW),
    _pair(KILL_GATEWAY, KILL_CONTROLLER),
)
