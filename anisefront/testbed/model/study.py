"""Studies: options, traffic and faults as plain values, the simulation of one run, and many runs in parallel.

A task contains all that its run needs, so that any process, also after an interruption, computes the same figures for
the same run. A task may name another version of the decision module; its process then loads that one before any other.
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

RunFigures = dict[str, Any]  # of one run, as `simulate_run` returns them and the store keeps them
POLICY_DIRECTORY = Path(__file__).parent.parent.parent / "policy"


class InvalidStudyError(Exception):
    """A study that cannot be simulated; the message says what is wrong where."""


@dataclass(frozen=True, slots=True)
class OptionSpec:
    """One option. `module` is a directory with another version of the decision module; "" is this version."""

    name: str
    settings: str  # the text of a settings file
    gatekeepers: int = 3
    workers: int = 10
    cores: int = 2
    service_ms: float = 20.0
    queue: int = 32
    cells: int = 1
    retries: int = 2
    lose: float = 0.0  # fraction of messages between gatekeepers that are lost
    start_ms: float = 800.0  # until a gatekeeper's process has started
    zones: tuple[str, ...] = ()
    fit: str = ""  # JSON of a `Fit`
    troubles: tuple[str, ...] = ()  # fault lines of a script, "at 30s slow workers 10 times 3 for 10s"
    module: str = ""


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic of a study: recorded files, or a day script from which each seed draws its own arrivals."""

    traces: tuple[str, ...] = ()
    scale: int = 1  # multiple of the customers of a recording
    day: str = ""  # the text of a script
    begin_s: float = 0.0
    end_s: float = 0.0  # 0: the end of the recording

    def digest(self) -> str:
        """Return a digest of the contents of the traffic, independent of file names."""
        digest = hashlib.blake2b(json.dumps([self.scale, self.day, self.begin_s, self.end_s]).encode(), digest_size=16)
        for path in self.traces:
            digest.update(hashlib.blake2b(Path(path).read_bytes()).digest())
        return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class Study:
    """Options that are simulated on the same traffic; each seed gives all of them the same random events."""

    options: tuple[OptionSpec, ...]
    traffic: Traffic
    series: bool = field(default=True)  # whether to store the time series that reports plot

    def identity(self) -> str:
        """Return an identifier of everything that determines the figures, including the sources of the program."""
        parts = [
            [asdict(replace(option, name="")) for option in self.options],
            self.traffic.digest(),
            self.series,
            [_directory_digest(Path(option.module) if option.module else POLICY_DIRECTORY) for option in self.options],
            _directory_digest(Path(__file__).parent),
        ]
        return hashlib.blake2b(json.dumps(parts).encode(), digest_size=8).hexdigest()


def _directory_digest(folder: Path) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for path in sorted(folder.glob("*.py")):
        digest.update(path.name.encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()


# ---- one run --------------------------------------------------------------------------------------------------


def simulate_run(study: Study, option: int, seed: int) -> RunFigures:
    """Simulate one run in this process."""
    from anisefront.testbed.model.simulation import Simulation

    spec = study.options[option]
    options, faults = _fitted_options(spec), _parse_faults(spec.troubles)
    arrivals = load_arrivals(study.traffic, spec.settings, seed)
    script = _parse_script(study.traffic.day) if study.traffic.day else None
    if script is not None:  # the generated arrivals already contain its surges
        faults += tuple(each for each in script.faults if each.name != "surge")
    chosen_option = options[seed % len(options)]
    if chosen_option.clients.retries:
        arrivals = [each for each in arrivals if not each.is_retry]  # the simulated clients retry by themselves
    simulation = Simulation(chosen_option, arrivals, faults, seed)
    try:
        metrics = simulation.run()
    except Exception as error:
        raise InvalidStudyError(
            f"option {spec.name}, seed {seed}, {simulation.now / 1000:.3f} s into the day: "
            f"{type(error).__name__}: {error}"
        ) from error
    series: dict[str, Any] = {}
    if study.series:
        series = {
            "service": metrics.by_second,
            "by_class": metrics.by_class,
            "by_plan": metrics.by_plan,
            "waits": {second: round(max(waits), 2) for second, waits in metrics.waits_at.items()},
            "out": metrics.in_flight_at,
            "refused": metrics.refusals_at,
            "units": metrics.units,
        }
    return {
        "measures": metrics.measures(),
        "answers": metrics.answers,
        "reasons": metrics.reasons,
        "fallen": metrics.crashed_workers,
        "series": json.loads(json.dumps(series)),
    }


def build_option(spec: OptionSpec) -> Any:
    """Build the option that a specification describes, without its fit."""
    from anisefront.testbed.model.pool import WorkerModel
    from anisefront.testbed.model.simulation import Clients, Network, Option

    config = load_config(spec.settings, spec.name)
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
def _fitted_options(spec: OptionSpec) -> tuple[Any, ...]:
    """Return an option for each draw of the fit, or a single option without a fit."""
    from anisefront.testbed.model.fit import Fit

    option = build_option(spec)
    if not spec.fit:
        return (option,)
    return tuple(
        replace(option, workers=each.workers(option.workers), network=each.network(option.network))
        for each in Fit.from_json(json.loads(spec.fit)).draws
    )


@functools.lru_cache(maxsize=8)
def load_config(text: str, name: str) -> Any:
    """Return checked settings; raises `InvalidStudyError`.

    The size of the fleet is that of the option, so messages between peers are enabled even if the file has no peers.
    """
    from anisefront.config import checker, loader, messages

    found = checker.check(loader.load_text(text, name))
    if found.config is None:
        raise InvalidStudyError(
            "\n".join(messages.format_problem(found.loaded, each) for each in found.problems if each.severity == 2)
        )
    config = found.config
    settings = replace(config.settings, peer_messages_enabled=True, inbox_per_s=config.settings.inbox_per_s or 200.0)
    return replace(config, settings=settings)


@functools.lru_cache(maxsize=4)
def _parse_script(text: str) -> Any:
    from anisefront.testbed import script as scripts

    script, problems = scripts.read(text)
    if problems:
        raise InvalidStudyError("; ".join(f"line {each.location.line}: {each.message}" for each in problems))
    return script


def _parse_faults(lines: tuple[str, ...]) -> tuple[Any, ...]:
    return tuple(_parse_script("\n".join(lines)).faults) if lines else ()


@functools.lru_cache(maxsize=2)
def _load_recorded(traffic: Traffic) -> tuple[Any, ...]:
    from anisefront.testbed.model import traces

    recording = traces.load(traffic.traces)
    if traffic.begin_s or traffic.end_s:
        recording = traces.cut(recording, traffic.begin_s * 1000, traffic.end_s * 1000 or float("inf"))
    if traffic.scale > 1:
        recording = traces.scale(recording, traffic.scale, 1)
    if len(recording.arrivals) < 100:
        raise InvalidStudyError(f"the traffic has {len(recording.arrivals)} arrivals; at least 100 are needed")
    return tuple(recording.arrivals)


def load_arrivals(traffic: Traffic, settings: str, seed: int) -> list[Any]:
    """Return the arrivals of a run; raises `InvalidStudyError` for classes or plans that the settings lack."""
    config = load_config(settings, "settings")
    if traffic.day:
        from anisefront.testbed.model import scripted

        return scripted.generate_arrivals(_parse_script(traffic.day), config, seed)
    arrivals = list(_load_recorded(traffic))
    checked = config.settings
    for what, known, name in (("classes", checked.classes, "class_name"), ("plans", checked.plans, "plan")):
        unknown = {getattr(each, name) for each in arrivals} - {each.name for each in known}
        if unknown:
            raise InvalidStudyError(
                f"the trace has {what} that the settings do not define: {', '.join(sorted(unknown))}"
            )
    return arrivals


# ---- many runs ------------------------------------------------------------------------------------------------

Task = tuple[Study, int, int]


def _initialize_process(module: str) -> None:
    """Initialize a worker process; another version of the decision module is set up before any import of this one."""
    if module:
        import anisefront.policy

        anisefront.policy.__path__ = [module]


def _run_task(task: Task) -> tuple[int, int, RunFigures]:
    study, option, seed = task
    return option, seed, simulate_run(study, option, seed)


class Runner:
    """Runs tasks on several processes, with a pool for each version of the decision module; a context manager."""

    def __init__(self, processes: int) -> None:
        """Create a runner; its processes start with the first tasks."""
        self._processes = max(1, processes)
        self._pools: dict[str, Any] = {}

    def __enter__(self) -> Runner:
        """Return the runner."""
        return self

    def __exit__(self, *_: object) -> None:
        """Terminate the processes."""
        for pool in self._pools.values():
            pool.terminate()

    def run(self, study: Study, wanted: list[tuple[int, int]]) -> Iterator[tuple[int, int, RunFigures]]:
        """Yield the figures of (option, seed) pairs as they complete, in any order."""
        if self._processes == 1 and not any(option.module for option in study.options):
            yield from (_run_task((study, option, seed)) for option, seed in wanted)
            return
        groups: dict[str, list[Task]] = {}
        for option, seed in wanted:
            groups.setdefault(study.options[option].module, []).append((study, option, seed))
        for module, tasks in groups.items():
            yield from self._pool(module).imap_unordered(_run_task, tasks)

    def _pool(self, module: str) -> Any:
        if module not in self._pools:
            if module and not (Path(module) / "controller.py").exists():
                raise InvalidStudyError(
                    f"{module}: no controller.py there; give the directory of a version of the decision module"
                )
            context = multiprocessing.get_context("spawn" if module or "twisted" in sys.modules else "fork")
            self._pools[module] = context.Pool(self._processes, _initialize_process, (module,))
        return self._pools[module]


def collect(
    runner: Runner,
    study: Study,
    seeds: list[int],
    known: dict[tuple[int, int], RunFigures],
    store_run: Callable[[int, int, RunFigures], None],
) -> list[list[RunFigures]]:
    """Return the figures of each option in the order of the seeds.

    Runs missing in `known` are simulated and passed to `store_run`.
    """
    missing = [(option, seed) for seed in seeds for option in range(len(study.options)) if (option, seed) not in known]
    for option, seed, figures in runner.run(study, missing):
        known[option, seed] = figures
        store_run(option, seed, figures)
    return [[known[option, seed] for seed in seeds] for option in range(len(study.options))]
