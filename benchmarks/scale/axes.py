"""Axes of a scale run: their sizes, the base sizes of the other axes, and how one size of each is measured.

Sizes double; the largest is measured last, after its prediction from the others has been stored.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

from benchmarks.scale.child import Child, terminate_all
from benchmarks.scale.files import ZONES, Sizes
from benchmarks.scale.fleet import Fleet

BASE = Sizes()
QUIET_S = 2.5
LOADED_S = 4.0
WINDOW_S = 7.5  # for axes whose size is a rate of changes per minute
Measure = Callable[[float], dict[str, float]]


@dataclass(frozen=True, slots=True)
class Axis:
    """Definition of one axis; `measuring` is a context manager that yields the function that measures a size."""

    unit: str
    sizes: tuple[float, ...]
    measuring: Callable[[], object]
    models: dict[str, str] = field(default_factory=dict)  # fit models of measures that are not linear in the size


def _sized(name: str) -> Callable[[], object]:
    """Measure each size in a new fleet, so that memory of one size is not counted for the next."""

    @contextmanager
    def measuring() -> Iterator[Measure]:
        """Yield the measuring function."""

        def measure(size: float) -> dict[str, float]:
            """Measure one row in a fleet of this size."""
            with Fleet(replace(BASE, **{name: int(size)})) as fleet:
                fleet.settle()
                time.sleep(1.0)  # lets the membership traffic of the start end
                return fleet.row(QUIET_S, LOADED_S)

        yield measure

    return measuring


def _in_one_fleet(
    measure: Callable[[Fleet, float, dict[str, float]], dict[str, float]], with_baseline: bool = True
) -> Callable[[], object]:
    """Measure all sizes in one fleet; with `with_baseline`, `measure` also gets a row from before any change."""

    @contextmanager
    def measuring() -> Iterator[Measure]:
        """Yield the measuring function while the fleet runs."""
        with Fleet(BASE) as fleet:
            fleet.settle()
            time.sleep(1.0)
            baseline = fleet.row(QUIET_S, LOADED_S) if with_baseline else {}
            yield lambda size: measure(fleet, size, baseline)

    return measuring


def _requests(fleet: Fleet, size: float, baseline: dict[str, float]) -> dict[str, float]:
    fleet.settle(size)  # the simulated clients send at the same rate, as in a whole fleet
    return fleet.row(QUIET_S, LOADED_S, size)


def times_at_rate(size: float) -> list[float]:
    """Return the times in a window, in seconds, of evenly spaced events at a rate per minute."""
    count = max(1, round(size * WINDOW_S / 60))
    return [WINDOW_S * (place + 0.5) / count for place in range(count)]


def _settings(fleet: Fleet, size: float, baseline: dict[str, float]) -> dict[str, float]:
    times: list[float] = []
    events = [(at, lambda: times.append(fleet.change_settings()[0])) for at in times_at_rate(size)]
    values = _changing(fleet, events, baseline)
    read_bytes_s = len(events) * fleet.files.settings_bytes() / WINDOW_S
    return values | {"in_force_s": max(times), "settings_bytes_s": read_bytes_s}


def _list(fleet: Fleet, size: float, baseline: dict[str, float]) -> dict[str, float]:
    times: list[float] = []
    events = [
        (at, lambda place=place: times.append(fleet.change_list(1 + place % 2)))
        for place, at in enumerate(times_at_rate(size))
    ]
    values = _changing(fleet, events, baseline)
    read_bytes_s = len(events) * fleet.files.endpoint_list.stat().st_size / WINDOW_S
    fleet.change_list(0)
    return values | {"in_force_s": max(times), "list_bytes_s": read_bytes_s}


def _members(fleet: Fleet, size: float, baseline: dict[str, float]) -> dict[str, float]:
    numbers = [each for each in range(fleet.sizes.reals, fleet.sizes.gatekeepers) if each not in fleet.sizes.neighbours]
    events = [
        (at, lambda place=place: fleet.restart_simulated([numbers[7 * place % len(numbers)]]))
        for place, at in enumerate(times_at_rate(size))
    ]
    values = _changing(fleet, events, baseline)
    fleet.settle()
    return values | (_zone_restart(fleet, numbers, baseline) if size == AXES["members"].sizes[-1] else {})


def _zone_restart(fleet: Fleet, numbers: list[int], baseline: dict[str, float]) -> dict[str, float]:
    """Crash and restart all gateways of one zone that have no clients, at once.

    The measures are stored with the largest size and are not fitted.
    """
    zone_members = [number for number in numbers if number % ZONES == 3]
    values = _changing(fleet, [(0.0, lambda: fleet.restart_simulated(zone_members, leaves=False))], baseline)
    return {"zone_members": float(len(zone_members))} | {f"zone_{name}": value for name, value in values.items()}


def _changing(
    fleet: Fleet, events: list[tuple[float, Callable[[], None]]], baseline: dict[str, float]
) -> dict[str, float]:
    """Measure a window with clients and changes in it.

    The cost of the changes is the CPU beyond the baseline row's control and its cost per request.
    """
    before, after, observed = fleet.window(WINDOW_S, BASE.requests, events)
    values = fleet.rates(before, after) | fleet.client_measures(before, after, observed, baseline["control_cpu_ms_s"])
    beyond = (
        values["cpu_ms_s"] - values["requests_s"] * baseline["request_cpu_us"] / 1000 - baseline["control_cpu_ms_s"]
    )
    del values["request_cpu_us"]
    return values | {
        "control_cpu_ms_s": baseline["control_cpu_ms_s"] + beyond,
        "change_cpu_ms": beyond * (after.at - before.at) / len(events),
    }


@contextmanager
def _services() -> Iterator[Measure]:
    """Yield the measuring function of the services axis."""

    def measure(size: float) -> dict[str, float]:
        """Measure so many controllers in one process."""
        return measure_controllers({"services": int(size)})

    yield measure


def measure_controllers(parameters: dict[str, object], seconds: float = 60.0) -> dict[str, float]:
    """Run controllers without a fleet in a process of their own and return its measures."""
    with tempfile.TemporaryDirectory(prefix="scale-") as folder, open(Path(folder) / "log", "w") as errors:
        process = Child.start_module("services", "services", parameters, errors)
        try:
            return process.receive(seconds)
        finally:
            terminate_all([process])


# By priority: the last are left out first if time runs short.
AXES = {
    "gatekeepers": Axis(
        "gatekeepers",
        (106, 212, 425, 850),
        _sized("gatekeepers"),
        # the tenants stay the same, each served by eight gateways: the more gateways, the fewer each has
        {"held_accounts_kb": "inverse", "held_stores_kb": "inverse"},
    ),
    "workers": Axis("workers in the list", (1375, 2750, 5500, 11_000), _sized("workers")),
    "routes": Axis("routes", (725, 1450, 2900, 5800), _sized("routes")),
    "tenants": Axis("tenants with a key each", (2750, 5500, 11_000, 22_000), _sized("tenants")),
    "requests": Axis(
        "requests a second of each gatekeeper", (20.25, 40.5, 81, 162), _in_one_fleet(_requests, with_baseline=False)
    ),
    "settings": Axis("changes of settings a minute", (8, 16, 32, 64), _in_one_fleet(_settings)),
    "list": Axis("changes of the list a minute", (8, 16, 32, 64), _in_one_fleet(_list)),
    "members": Axis("members restarted a minute", (16, 32, 64, 128), _in_one_fleet(_members)),
    "services": Axis("decision modules with 24 workers each, in one process", (56, 112, 225, 450), _services),
}


def base(name: str) -> dict[str, float]:
    """Return the sizes of the other axes while one is measured."""
    return {key: value for key, value in asdict(BASE).items() if key != name} | {"services": 1}
