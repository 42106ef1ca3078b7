"""Samples of settings and the output of the commands for them; the only part of this test that uses project names.

`tests/test_settings_characterization.py` compares what `observe` returns with `tests/data/settings/expected.json`. The
expected data was recorded once, by `python tests/settings_samples.py`, which refuses to overwrite it. When names in the
project change, the imports and the reading of attributes here follow; the samples and the expected data stay.
"""

from __future__ import annotations

import hashlib
import json
import os
import tempfile
from pathlib import Path
from typing import Any

import test_config_corpus as corpus
from click.testing import CliRunner, Result

from anisefront.cli.main import main as command_line
from anisefront.config import checker, loader
from anisefront.config.incremental_loader import IncrementalLoader
from anisefront.gateway.steps import run_to_end

ROOT = Path(__file__).parent.parent
EXPECTED = Path(__file__).parent / "data" / "settings" / "expected.json"
MAIN = "f.conf"  # the file of a sample that is passed to the commands
UNSET_VARIABLES = {"WAIT": None, "NOT_SET_AT_ALL": None}  # variables that samples use and that must not be set
Sample = dict[str, str]  # text by file name

MINIMAL = """\
language 2
gatekeeper 0 of 1
listen grpc 127.0.0.1:9001
pool p embedded 2
class c aim 1s deadline 5s repeat safe
quota q rate 6/s
plan n quota q
customers header x-api-key
route GET /a class c pool p
"""
FLEET = MINIMAL.replace("0 of 1", "0 of 2") + 'listen peers 127.0.0.1:9002\nsecret "0123456789abcdef"\n'
DEFAULTS_OF_OPTIONAL_LINES = (
    FLEET
    + """\
members
keepers
record /tmp/trace key "a key of names"
quota ceiled ceiling 9/s
plan ceiled quota ceiled
"""
)
ALL_OPTIONS = """\
language 2
gatekeeper 1 of 3 zone room-a
listen grpc 127.0.0.1:9001
listen jsonrpc "[::1]:9003"
listen peers 127.0.0.1:9002
peer 0 127.0.0.1:9102 zone room-b
peer 1 127.0.0.1:9002
peer 2 127.0.0.1:9202 zone room-c
secret "0123456789abcdef"
members period 2s
keepers lease 3s records 700
messages 300/s
pool p embedded 2 cores 3 service 4ms warm-up 5s cold-from 30% fall-multiple 4 fall-window 6s
class c aim 1s deadline 5s repeat keyed worth 3 late-worth 10% scope zone window 7s unprotected refuse
quota q rate 6/s burst 13 max-out 14 ceiling 15/s ceiling-burst 16 ceiling-slack 17
plan n quota q value 1.5 over-worth 25% over-cost 0.75
customers header x-api-key plan n spread 2
key k-1 customer one plan n
route [GET HEAD] /a/:b/* class c pool p host *.shop.example when [x-b=2 x-a=*] units 2
route POST /a class c pool p units-header x-units
repeat-header x-again
attempts 5 second-copies no
report [util queue]
path log 2s ask-again 600ms park 200ms
limits open 100 connections 50 units 8 retry-after 9s
drain 11s
stop 12s
record /tmp/trace rotate 2MiB keep 3 key "a key of names"
seed 7
"""
IN_PIECES = {
    MAIN: 'language 2\nenv WAIT default "6s"\ninclude "part-*.conf"\ngatekeeper 0 of 1\nlisten grpc 127.0.0.1:9001\n'
    "use one [a small]\nuse one [b small]\ndrain ${WAIT}\n",
    "part-b.conf": "# the pool\npool p embedded 2\nquota small rate 6/s # a comment\n\n\nplan n quota small\n",
    "part-a.conf": "define one [name quota] {\n    class ${name} aim 1s deadline 5s repeat safe\n"
    "    route GET /${name} class ${name} pool p\n}\ncustomers header x-api-key\n",
}
IN_PIECES_WITH_FAULTS = {
    MAIN: 'language 2\ninclude "sub.conf"\ngatekeeper 0 of 1\n',
    "sub.conf": '\tinclude "deep.conf"\nlimits open 2.5\n',
    "deep.conf": 'include "f.conf"\n  drain   6\n\tstop\t"5"\n',
}
UNITS = {
    "time": ("path log 3{}", ("us", "ms", "s", "min", "h", "d")),
    "rate": (
        "quota r burst 100 rate 3{}\nplan r quota r",
        ("/s", "/min", "/h", "/d", " requests/s", " units/min", " unit/h", " request/d"),
    ),
    "messages": ("messages 300{}", ("/s", " datagrams/s", " datagram/min")),
    "size": ("record /tmp/trace key k rotate 3{}", ("B", "KiB", "MiB", "GiB", "kB", "MB", "GB")),
    "share": ("class s aim 1s deadline 2s repeat safe late-worth 0.3{}", ("", "%")),
}


def corpus_samples() -> dict[str, Sample]:
    """Return the valid text of the corpus and each of its changes."""
    found = {"good": {MAIN: corpus.GOOD}}
    for kind, changes in (("broken", corpus.CASES), ("warned", corpus.WARNINGS)):
        for number, (old, new, *_) in enumerate(changes):
            found[f"{kind}-{number:03}"] = {MAIN: corpus.GOOD.replace(old, new, 1)}
    return found


def example_samples() -> dict[str, Sample]:
    """Return the settings under examples/; those of the day script also with the lines that the test bed adds."""
    found = {
        f"example-{path.stem}": {MAIN: path.read_text(encoding="utf-8")}
        for path in sorted((ROOT / "examples").glob("*.conf"))
    }
    day = (ROOT / "examples" / "bad-saturday" / "gatekeeper.conf").read_text(encoding="utf-8")
    added = 'gatekeeper 0 of 1\nlisten grpc 127.0.0.1:0\npool stalls roster "/tmp/roster.json"\n'
    return found | {"bad-saturday": {MAIN: day}, "bad-saturday-whole": {MAIN: day + added}}


def own_samples() -> dict[str, Sample]:
    """Return samples of defaults, all options, all units, includes and definitions."""
    found = {
        "minimal": {MAIN: MINIMAL},
        "fleet": {MAIN: FLEET},
        "defaults-of-optional-lines": {MAIN: DEFAULTS_OF_OPTIONAL_LINES},
        "all-options": {MAIN: ALL_OPTIONS},
        "in-pieces": IN_PIECES,
        "in-pieces-with-faults": IN_PIECES_WITH_FAULTS,
        "empty": {MAIN: ""},
        "not-in-style": {MAIN: MINIMAL.replace(" ", "   ").replace("\n", " ;\n\n\n")},
    }
    for kind, (line, units) in UNITS.items():
        for unit in units:
            text = FLEET + line.format(unit) + "\n"
            found[f"unit-{kind}-{unit.strip().replace('/', 'per-') or 'none'}"] = {MAIN: text}
    return found


def samples() -> dict[str, Sample]:
    """Return all samples by name."""
    return corpus_samples() | example_samples() | own_samples()


def fingerprint(text: str) -> str:
    """Return the SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def write_sample(sample: Sample, folder: Path) -> None:
    """Write the files of a sample into a folder."""
    for name, text in sample.items():
        (folder / name).write_text(text, encoding="utf-8")


def run(folder: Path, *arguments: str) -> Result:
    """Run a command in this process, in a directory; exceptions other than an exit propagate."""
    before = Path.cwd()
    os.chdir(folder)
    try:
        return CliRunner().invoke(command_line, arguments, env=UNSET_VARIABLES, catch_exceptions=False)
    finally:
        os.chdir(before)


def remove_directory(text: str, folder: Path) -> str:
    """Return a text with the directory of the sample removed from paths."""
    return text.replace(f"{folder.resolve()}/", "").replace(f"{folder}/", "")


def outcome(result: Result, folder: Path) -> dict[str, Any]:
    """Return exit code, standard output and standard error of a command."""
    return {
        "exit": result.exit_code,
        "stdout": remove_directory(result.stdout, folder),
        "stderr": remove_directory(result.stderr, folder),
    }


def abbreviate(result: dict[str, Any]) -> dict[str, Any]:
    """Return the result with the SHA-256 in place of a long output."""
    return {key: fingerprint(value) if key == "stdout" and len(value) > 100 else value for key, value in result.items()}


def observe(sample: Sample, folder: Path) -> dict[str, Any]:
    """Return the output of all commands for a sample whose files are written to an empty directory."""
    write_sample(sample, folder)
    checked_as_json = run(folder, "config", "check", "--notes", "--format", "json", MAIN)
    return {
        "input": fingerprint(json.dumps(sample, sort_keys=True)),
        "problems": json.loads(remove_directory(checked_as_json.stdout, folder)),
        "check": outcome(run(folder, "check", MAIN), folder),
        "config check --strict": run(folder, "config", "check", "--strict", MAIN).exit_code,
        "digest": outcome(run(folder, "config", "digest", MAIN), folder),
        "show": abbreviate(outcome(run(folder, "config", "show", MAIN), folder)),
        "printed at a start": read_at_start(folder),
        "fmt": abbreviate(outcome(run(folder, "config", "fmt", MAIN), folder)),
        "formatted": fingerprint((folder / MAIN).read_text(encoding="utf-8")),
        "values": json.loads(json.dumps(values(sample))),
    }


def read_at_start(folder: Path) -> list[str]:
    """Return what an instance prints at start, which loads incrementally, unlike the check command."""
    texts = run_to_end(IncrementalLoader(str(folder / MAIN), {}).steps()).texts
    return [remove_directory(text, folder) for text in texts]


def observe_reference(folder: Path) -> dict[str, Any]:
    """Return the reference page, which contains the defaults."""
    return abbreviate(outcome(run(folder, "config", "reference"), folder))


# ---- values of settings, under the names of the settings language --------------------------------------------


def values(sample: Sample) -> dict[str, Any] | None:
    """Return the values of a sample of one file, with defaults; None for several files and for invalid settings."""
    if len(sample) > 1:
        return None
    config = checker.check(loader.load_text(sample[MAIN], MAIN), {}).config
    if config is None:
        return None
    return {**_gatekeeper(config), **_workers(config), **_limits(config), **_customers(config), **_duties(config)}


def _address(address: Any) -> list[Any] | None:
    return None if address is None else [address.host, address.port]


def _gatekeeper(config: Any) -> dict[str, Any]:
    own = config.settings
    return {
        "gatekeeper": [own.number, own.gateways, own.zone],
        "listen": {
            "grpc": _address(config.grpc),
            "jsonrpc": _address(config.jsonrpc),
            "peers": _address(config.peers_listen),
        },
        "peer": {str(number): _address(address) for number, address in config.peers.items()},
        "peer zone": {str(number): zone for number, zone in config.rooms.items()},
        "secret": config.secret.decode(),
        "secret for tags": own.tag_key.hex(),
        "members period ms": config.members_ms,
        "keepers": {"lease ms": config.lease_ms, "records": config.most_records},
        "messages a second": own.inbox_per_s,
        "seed": config.seed,
    }


def _workers(config: Any) -> dict[str, Any]:
    own, embedded = config.settings, config.embedded
    return {
        "pool": {
            "roster": config.roster_file,
            "warm-up ms": own.warm_up_ms,
            "cold-from": own.slow_start_initial_factor,
            "fall-multiple": own.overload_multiple,
            "fall-window ms": own.overload_window_ms,
            "embedded": embedded and [embedded.count, embedded.cores, embedded.service_ms],
        },
        "attempts": [own.max_attempts, own.hedging_enabled],
        "report": [own.load_report_mode, list(own.load_report_fields)],
        "path": {"log ms": config.log_ms, "ask-again ms": config.ask_again_ms, "park ms": config.park_ms},
    }


def _limits(config: Any) -> dict[str, Any]:
    own = config.settings
    return {
        "limits": {
            "open": config.most_open,
            "connections": config.most_connections,
            "units": own.max_units,
            "retry-after ms": own.max_retry_after_ms,
        },
        "drain ms": config.drain_ms,
        "stop ms": config.stop_ms,
        "not in the language": {
            "grain of turns ms": own.tick_ms,
            "cancels": own.cancellation_enabled,
            "tells peers": own.peer_messages_enabled,
            "probes": own.probing_enabled,
            "subscribes": own.subscription_required,
            "settles": own.postpaid,
            "asks within ms": own.poll_within_ms,
            "price of another zone": own.cross_zone_price,
            "price of a peer": own.peer_message_price,
            "customers known at once": own.max_customers,
        },
    }


def _customers(config: Any) -> dict[str, Any]:
    return {
        "customers": {"header": config.customer_header, "plan": config.default_plan, "spread": config.spread},
        "repeat-header": config.repeat_header,
        "key": {text: [key.customer, key.plan] for text, key in config.keys.items()},
        "plan": [
            [
                plan.name,
                plan.rate_per_s,
                plan.burst,
                plan.max_in_flight,
                plan.priority_multiplier,
                plan.over_quota_multiplier,
                plan.over_quota_cost,
                plan.ceiling_per_s,
                plan.ceiling_burst,
                plan.ceiling_slack,
            ]
            for plan in config.settings.plans
        ],
    }


def _duties(config: Any) -> dict[str, Any]:
    recording = config.recording
    return {
        "class": [
            [
                each.name,
                each.latency_objective_ms,
                each.deadline_ms,
                each.priority_weight,
                each.idempotency.value,
                each.late_priority_weight,
                each.deduplication_scope.value,
                each.deduplication_window_ms,
                each.streamed,
                each.latency_objective_stretch,
            ]
            for each in config.settings.classes
        ],
        "class unprotected refuse": sorted(config.protected_only),
        "route": [
            [
                list(each.pattern.methods),
                each.pattern.path,
                each.pattern.host,
                list(each.pattern.when),
                each.class_name,
                each.pool,
                each.units,
                each.units_header,
            ]
            for each in config.routes
        ],
        "record": recording and [recording.path, recording.rotate, recording.keep, recording.key.decode()],
    }


# ---- recording -----------------------------------------------------------------------------------------------


def observe_all() -> dict[str, Any]:
    """Return the observations of all samples and of the reference page."""
    found: dict[str, Any] = {"samples": {}}
    with tempfile.TemporaryDirectory() as made:
        found["reference"] = observe_reference(Path(made))
    for name, sample in samples().items():
        with tempfile.TemporaryDirectory() as made:
            found["samples"][name] = observe(sample, Path(made))
    return found


def record(path: Path) -> None:
    """Write the expected data; raises FileExistsError if it exists already."""
    if path.exists():
        raise FileExistsError(f"{path} exists already: expected data is recorded only once")
    text = json.dumps(observe_all(), indent=1, ensure_ascii=True) + "\n"
    with path.open("x", encoding="utf-8") as file:
        file.write(text)


if __name__ == "__main__":
    record(EXPECTED)
