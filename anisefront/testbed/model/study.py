"""A study: options, traffic and troubles as plain values, what one run of it comes to, and many runs side by side.

All that a run needs is in its task, so that any process, now or after a kill, plays the same run to the same figures.
A task may name another version of the decision module; then its process loads that one before anything else.
"""

from __future__ import annotations

import functools
import hashlib
import json
import multiprocessing
import sys
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

Figures = dict[str, Any]  # "measures" and "series" of one run
POLICY = Path(__file__).parent.parent.parent / "policy"


class Unfit(Exception):
    """A study that can't be played: place, fault and mend."""


@dataclass(frozen=True, slots=True)
class OptionSpec:
    """One option. `module` is a folder with another version's decision files; "" is this version."""

    name: str
    settings: str  # the text of a settings file
    gatekeepers: int = 3
    workers: int = 10
    cores: int = 2
    service_ms: float = 20.0
    queue: int = 32
    cells: int = 1
    retries: int = 2
    lose: float = 0.0  # share of messages between gatekeepers
    start_ms: float = 800.0  # of a gatekeeper's process
    zones: tuple[str, ...] = ()
    fit: str = ""  # JSON of a `Fit`
    troubles: tuple[str, ...] = ()  # lines of a script, "at 30s slow workers 10 times 3 for 10s"
    module: str = ""


@dataclass(frozen=True, slots=True)
class Traffic:
    """What comes: recorded files, or a day's script from which each seed draws its own."""

    traces: tuple[str, ...] = ()
    scale: int = 1
    day: str = ""  # the text of a script
    begin_s: float = 0.0
    end_s: float = 0.0  # 0: to the end

    def digest(self) -> str:
        """Tells one traffic from another, by contents and not by names."""
        digest = hashlib.blake2b(json.dumps([self.scale, self.day, self.begin_s, self.end_s]).encode(), digest_size=16)
        for path in self.traces:
            digest.update(hashlib.blake2b(Path(path).read_bytes()).digest())
        return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class Study:
    """Options that are played on the same traffic; each seed is one world for all of them."""

    options: tuple[OptionSpec, ...]
    traffic: Traffic
    series: bool = field(default=True)  # keep what reports draw

    def identity(self) -> str:
        """Names the study by all that its figures hang on, this program's own text included."""
        parts = [
            [asdict(replace(option, name="")) for option in self.options],
            self.traffic.digest(),
            self.series,
            [_digest(Path(option.module) if option.module else POLICY) for option in self.options],
            _digest(Path(__file__).parent),
        ]
        return hashlib.blake2b(json.dumps(parts).encode(), digest_size=8).hexdigest()


def _digest(folder: Path) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for path in sorted(folder.glob("*.py")):
        digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


# ---- one run --------------------------------------------------------------------------------------------------


def play(study: Study, option: int, seed: int) -> Figures:
    """One run in this process."""
    from anisefront.testbed.model.world import Simulation

    spec = study.options[option]
    made, troubles = _made(spec), _lines(spec.troubles)
    arrivals = arrivals_of(study.traffic, spec.settings, seed)
    script = _script(study.traffic.day) if study.traffic.day else None
    if script is not None:  # its surges are in the traffic
        troubles += tuple(each for each in script.troubles if each.name != "surge")
    chosen = made[seed % len(made)]
    if chosen.clients.retries:
        arrivals = [each for each in arrivals if not each.is_retry]  # these the model's clients make themselves
    world = Simulation(chosen, arrivals, troubles, seed)
    try:
        played = world.run()
    except Exception as problem:
        raise Unfit(
            f"option {spec.name}, seed {seed}, {world.now / 1000:.3f} s into the day: "
            f"{type(problem).__name__}: {problem}"
        ) from problem
    series: dict[str, Any] = {}
    if study.series:
        series = {
            "service": played.by_second,
            "by_class": played.by_class,
            "by_plan": played.by_plan,
            "waits": {second: round(max(waits), 2) for second, waits in played.waits_at.items()},
            "out": played.in_flight_at,
            "refused": played.refusals_at,
            "units": played.units,
        }
    return {
        "measures": played.measures(),
        "answers": played.answers,
        "reasons": played.reasons,
        "fallen": played.crashed_workers,
        "series": json.loads(json.dumps(series)),
    }


def option_of(spec: OptionSpec) -> Any:
    """The option without its fit."""
    from anisefront.testbed.model.pool import WorkerModel
    from anisefront.testbed.model.world import Clients, Network, Option

    config = config_of(spec.settings, spec.name)
    settings = config.settings
    workers = WorkerModel(
        spec.workers,
        spec.cores,
        spec.queue,
        spec.service_ms,
        warm_up_ms=settings.warm_up_ms,
        cold_from=settings.slow_start_initial_factor,
        overload_multiple=settings.overload_multiple,
        overload_window_ms=settings.overload_window_ms,
        cells=spec.cells,
        load_reports=bool(settings.load_report_fields),
    )
    return Option(
        settings,
        spec.gatekeepers,
        min(config.spread, spec.gatekeepers),
        workers,
        Network(lose=spec.lose, start_ms=spec.start_ms),
        Clients(spec.retries),
        spec.zones,
    )


@functools.lru_cache(maxsize=4)
def _made(spec: OptionSpec) -> tuple[Any, ...]:
    """The option for each draw of its fit, one where it has none."""
    from anisefront.testbed.model.fit import Fit

    option = option_of(spec)
    if not spec.fit:
        return (option,)
    return tuple(
        replace(option, workers=each.workers(option.workers), network=each.network(option.network))
        for each in Fit.from_json(json.loads(spec.fit)).draws
    )


@functools.lru_cache(maxsize=8)
def config_of(text: str, name: str) -> Any:
    """Checked settings; raises `Unfit`. The fleet's size is the option's, so a lone file is taken for one of many."""
    from anisefront.config import checker, loader, messages

    found = checker.check(loader.load_text(text, name))
    if found.config is None:
        raise Unfit(
            "\n".join(messages.format_problem(found.loaded, each) for each in found.problems if each.severity == 2)
        )
    config = found.config
    settings = replace(config.settings, peer_messages_enabled=True, inbox_per_s=config.settings.inbox_per_s or 200.0)
    return replace(config, settings=settings)


@functools.lru_cache(maxsize=4)
def _script(text: str) -> Any:
    from anisefront.testbed import script as scripts

    script, problems = scripts.read(text)
    if problems:
        raise Unfit("; ".join(f"line {each.location.line}: {each.message}" for each in problems))
    return script


def _lines(lines: tuple[str, ...]) -> tuple[Any, ...]:
    return tuple(_script("\n".join(lines)).troubles) if lines else ()


@functools.lru_cache(maxsize=2)
def _recorded(traffic: Traffic) -> tuple[Any, ...]:
    from anisefront.testbed.model import traces

    whole = traces.load(traffic.traces)
    if traffic.begin_s or traffic.end_s:
        whole = traces.cut(whole, traffic.begin_s * 1000, traffic.end_s * 1000 or float("inf"))
    if traffic.scale > 1:
        whole = traces.scale(whole, traffic.scale, 1)
    if len(whole.arrivals) < 100:
        raise Unfit(f"{len(whole.arrivals)} arrivals: too few to tell anything, 100 are due")
    return tuple(whole.arrivals)


def arrivals_of(traffic: Traffic, settings: str, seed: int) -> list[Any]:
    config = config_of(settings, "settings")
    if traffic.day:
        from anisefront.testbed.model import scripted

        return scripted.arrivals(_script(traffic.day), config, seed)
    arrivals = list(_recorded(traffic))
    settings_of = config.settings
    for what, known, name in (("classes", settings_of.classes, "class_name"), ("plans", settings_of.plans, "plan")):
        unknown = {getattr(each, name) for each in arrivals} - {each.name for each in known}
        if unknown:
            raise Unfit(f"the trace has {what} that the settings don't: {', '.join(sorted(unknown))}")
    return arrivals


# ---- many -----------------------------------------------------------------------------------------------------

Task = tuple[Study, int, int]


def _begin(module: str) -> None:
    """A worker process: with another version of the decision module, before anything imports this one's."""
    if module:
        import anisefront.policy

        anisefront.policy.__path__ = [module]


def _play(task: Task) -> tuple[int, int, Figures]:
    study, option, seed = task
    return option, seed, play(study, option, seed)


class Runner:
    """Plays tasks on several processes, one group of them for each version of the module. Use as a context."""

    def __init__(self, processes: int) -> None:
        self._processes = max(1, processes)
        self._pools: dict[str, Any] = {}

    def __enter__(self) -> Runner:
        return self

    def __exit__(self, *_: object) -> None:
        for pool in self._pools.values():
            pool.terminate()

    def run(self, study: Study, wanted: list[tuple[int, int]]) -> Iterator[tuple[int, int, Figures]]:
        """Figures of (option, seed) pairs as they are ready, in any order."""
        if self._processes == 1 and not any(option.module for option in study.options):
            yield from (_play((study, option, seed)) for option, seed in wanted)
            return
        groups: dict[str, list[Task]] = {}
        for option, seed in wanted:
            groups.setdefault(study.options[option].module, []).append((study, option, seed))
        for module, tasks in groups.items():
            yield from self._pool(module).imap_unordered(_play, tasks)

    def _pool(self, module: str) -> Any:
        if module not in self._pools:
            if module and not (Path(module) / "controller.py").exists():
                raise Unfit(f"{module}: no controller.py there; name a folder with a version's decision files")
            context = multiprocessing.get_context("spawn" if module or "twisted" in sys.modules else "fork")
            self._pools[module] = context.Pool(self._processes, _begin, (module,))
        return self._pools[module]


def collect(
    runner: Runner,
    study: Study,
    seeds: list[int],
    known: dict[tuple[int, int], Figures],
    keep: Callable[[int, int, Figures], None],
) -> list[list[Figures]]:
    """Figures of each option for these seeds, in their order; what is not known yet is played and kept."""
    missing = [(option, seed) for seed in seeds for option in range(len(study.options)) if (option, seed) not in known]
    for option, seed, figures in runner.run(study, missing):
        known[option, seed] = figures
        keep(option, seed, figures)
    return [[known[option, seed] for seed in seeds] for option in range(len(study.options))]
