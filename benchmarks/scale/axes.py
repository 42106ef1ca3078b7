"""The axes of a scale run: their sizes, the others' base, and how one size of each is measured.

Sizes double; the largest comes last, after what the others predict of it has been written down.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

from benchmarks.scale.child import Child, end_all
from benchmarks.scale.fleet import Fleet
from benchmarks.scale.files import ZONES, Sizes

BASE = Sizes()
QUIET_S, LOADED_S = 2.5, 4.0
WINDOW_S = 7.5  # of axes whose size is changes a minute
Measure = Callable[[float], dict[str, float]]


@dataclass(frozen=True, slots=True)
class Axis:
    """One axis. `measuring` gives what measures a size, and ends what it started."""

    unit: str
    sizes: tuple[float, ...]
    measuring: Callable[[], object]
    models: dict[str, str] = field(default_factory=dict)  # of measures that do not go with the size itself


def _sized(name: str) -> Callable[[], object]:
    """A fleet of its own for each size, since what one held would be counted for the next."""

    @contextmanager
    def measuring() -> Iterator[Measure]:
        def measure(size: float) -> dict[str, float]:
            with Fleet(replace(BASE, **{name: int(size)})) as fleet:
                fleet.settle()
                time.sleep(1.0)  # what they had to tell each other at the start
                return fleet.row(QUIET_S, LOADED_S)

        yield measure

    return measuring


def _in_one_fleet(
    measure: Callable[[Fleet, float, dict[str, float]], dict[str, float]], beside: bool = True
) -> Callable[[], object]:
    """One fleet for all sizes; `measure` also has its row before anything changes, where one is laid beside."""

    @contextmanager
    def measuring() -> Iterator[Measure]:
        with Fleet(BASE) as fleet:
            fleet.settle()
            time.sleep(1.0)
            still = fleet.row(QUIET_S, LOADED_S) if beside else {}
            yield lambda size: measure(fleet, size, still)

    return measuring


def _requests(fleet: Fleet, size: float, still: dict[str, float]) -> dict[str, float]:
    fleet.settle(size)  # the hollow ones' clients too: the whole fleet has so many
    return fleet.row(QUIET_S, LOADED_S, size)


def at_a_minute(size: float) -> list[float]:
    """The seconds of a window at which something comes, so many a minute, evenly."""
    count = max(1, round(size * WINDOW_S / 60))
    return [WINDOW_S * (place + 0.5) / count for place in range(count)]


def _settings(fleet: Fleet, size: float, still: dict[str, float]) -> dict[str, float]:
    times: list[float] = []
    events = [(at, lambda: times.append(fleet.change_settings()[0])) for at in at_a_minute(size)]
    values = _changing(fleet, events, still)
    read = len(events) * fleet.files.settings_bytes() / WINDOW_S
    return values | {"in_force_s": max(times), "settings_bytes_s": read}


def _list(fleet: Fleet, size: float, still: dict[str, float]) -> dict[str, float]:
    times: list[float] = []
    events = [
        (at, lambda place=place: times.append(fleet.change_list(1 + place % 2)))
        for place, at in enumerate(at_a_minute(size))
    ]
    values = _changing(fleet, events, still)
    read = len(events) * fleet.files.roster.stat().st_size / WINDOW_S
    fleet.change_list(0)
    return values | {"in_force_s": max(times), "list_bytes_s": read}


def _members(fleet: Fleet, size: float, still: dict[str, float]) -> dict[str, float]:
    numbers = [each for each in range(fleet.sizes.reals, fleet.sizes.gatekeepers) if each not in fleet.sizes.busy]
    events = [
        (at, lambda place=place: fleet.restart_hollow([numbers[7 * place % len(numbers)]]))
        for place, at in enumerate(at_a_minute(size))
    ]
    values = _changing(fleet, events, still)
    fleet.settle()
    return values | (_zone_at_once(fleet, numbers, still) if size == AXES["members"].sizes[-1] else {})


def _zone_at_once(fleet: Fleet, numbers: list[int], still: dict[str, float]) -> dict[str, float]:
    """All of one zone that have no clients die at once and come again at once, in new lives: a row of its own, which
    stands with the largest size and is fitted to nothing."""
    of_zone = [number for number in numbers if number % ZONES == 3]
    values = _changing(fleet, [(0.0, lambda: fleet.restart_hollow(of_zone, leaves=False))], still)
    return {"zone_members": float(len(of_zone))} | {f"zone_{name}": value for name, value in values.items()}


def _changing(
    fleet: Fleet, events: list[tuple[float, Callable[[], None]]], still: dict[str, float]
) -> dict[str, float]:
    """The measures of a window with clients and with changes in it. What these cost is laid beside the still row: all
    that is spent beyond control as it was and requests at the cost that they had."""
    before, after, seen = fleet.window(WINDOW_S, BASE.requests, events)
    values = fleet.rates(before, after) | fleet.seen(before, after, seen, still["control_cpu_ms_s"])
    beyond = values["cpu_ms_s"] - values["requests_s"] * still["request_cpu_us"] / 1000 - still["control_cpu_ms_s"]
    del values["request_cpu_us"]
    return values | {
        "control_cpu_ms_s": still["control_cpu_ms_s"] + beyond,
        "change_cpu_ms": beyond * (after.at - before.at) / len(events),
    }


@contextmanager
def _services() -> Iterator[Measure]:
    def measure(size: float) -> dict[str, float]:
        return alone({"services": int(size)})

    yield measure


def alone(given: dict[str, object], seconds: float = 60.0) -> dict[str, float]:
    """What a process of modules alone says."""
    with tempfile.TemporaryDirectory(prefix="scale-") as folder, open(Path(folder) / "log", "w") as errors:
        made = Child.of("services", "services", given, errors)
        try:
            return made.hear(seconds)
        finally:
            end_all([made])


# In the order in which they are kept where time runs short.
AXES = {
    "gatekeepers": Axis(
        "gatekeepers",
        (106, 212, 425, 850),
        _sized("gatekeepers"),
        # the same tenants, each through eight: of more gatekeepers each has fewer
        {"held_accounts_kb": "inverse", "held_stores_kb": "inverse"},
    ),
    "workers": Axis("workers in the list", (1375, 2750, 5500, 11_000), _sized("workers")),
    "routes": Axis("routes", (725, 1450, 2900, 5800), _sized("routes")),
    "tenants": Axis("tenants with a key each", (2750, 5500, 11_000, 22_000), _sized("tenants")),
    "requests": Axis(
        "requests a second of each gatekeeper", (20.25, 40.5, 81, 162), _in_one_fleet(_requests, beside=False)
    ),
    "settings": Axis("changes of settings a minute", (8, 16, 32, 64), _in_one_fleet(_settings)),
    "list": Axis("changes of the list a minute", (8, 16, 32, 64), _in_one_fleet(_list)),
    "members": Axis("members restarted a minute", (16, 32, 64, 128), _in_one_fleet(_members)),
    "services": Axis("decision modules with 24 workers each, in one process", (56, 112, 225, 450), _services),
}


def base(name: str) -> dict[str, float]:
    """The sizes of the other axes while one is measured."""
    return {key: value for key, value in asdict(BASE).items() if key != name} | {"services": 1}
