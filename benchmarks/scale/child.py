"""Processes of a scale run, both ends: a line of JSON each way, waits are bounded, none outlives who began it.

python -m benchmarks.scale.child PARENT FOLDER COMMAND...     becomes that command there, and ends with its parent
"""

from __future__ import annotations

import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

from benchmarks.scale.results import ROOT

_PR_SET_PDEATHSIG = 1


class Lost(Exception):
    """A process of the run that ended, or did not answer in time; the text says which and what it wrote last."""


def end_with(parent: int) -> None:
    """Be killed when the parent ends. Danger: one that is killed itself can't end us, and we would load the machine."""
    ctypes.CDLL(None, use_errno=True).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # it ended before we had said so
        sys.exit(1)


def task() -> dict[str, Any]:
    """What a child of `Child` was started with."""
    given = json.loads(sys.argv[1])
    end_with(given.pop("parent"))
    return given


def say(message: Any) -> None:
    """A line to the parent."""
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


class Child:
    """One process; `errors` is the file that its standard error goes to."""

    def __init__(self, name: str, command: Sequence[str], errors: TextIO) -> None:
        self.name, self._errors, self._rest = name, errors, b""
        self.began = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, *command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors
        )
        self.pid = self.process.pid

    @classmethod
    def of(cls, name: str, module: str, given: dict[str, Any], errors: TextIO) -> Child:
        """A module of this package as a process; it reads its task with `task`."""
        return cls(name, ["-m", f"benchmarks.scale.{module}", json.dumps(given | {"parent": os.getpid()})], errors)

    def tell(self, message: Any) -> None:
        """A line to it."""
        try:
            self.process.stdin.write(json.dumps(message).encode() + b"\n")
            self.process.stdin.flush()
        except OSError as problem:
            raise self._lost("is gone") from problem

    def hear(self, seconds: float) -> Any:
        """Its next line; raises `Lost` where there is none in time."""
        end = time.monotonic() + seconds
        while b"\n" not in self._rest:
            left = end - time.monotonic()
            if left <= 0 or not select.select([self.process.stdout], (), (), left)[0]:
                raise self._lost(f"has not answered in {seconds:g} s")
            data = os.read(self.process.stdout.fileno(), 1 << 20)
            if not data:
                raise self._lost("has ended")
            self._rest += data
        line, _, self._rest = self._rest.partition(b"\n")
        return json.loads(line)

    def ask(self, message: Any, seconds: float = 20.0) -> Any:
        """A line to it, and its answer."""
        self.tell(message)
        return self.hear(seconds)

    def _lost(self, what: str) -> Lost:
        self._errors.flush()
        with open(self._errors.name) as file:
            said = file.read()[-1500:]
        return Lost(f"{self.name} (process {self.pid}) {what}; it wrote: {said or 'nothing'}")


def ask_all(children: Iterable[Child], message: Any, seconds: float = 20.0) -> list[Any]:
    """The same to several at once."""
    children = list(children)
    for each in children:
        each.tell(message)
    return [each.hear(seconds) for each in children]


def end_all(children: Iterable[Child], seconds: float = 3.0) -> None:
    """End them by their ids: asked first, killed where they have not gone in time. Raises nothing."""
    children = list(children)
    for each in children:
        try:
            each.process.stdin.close()
            each.process.terminate()
        except OSError:
            pass
    end = time.monotonic() + seconds
    for each in children:
        try:
            each.process.wait(max(0.0, end - time.monotonic()))
        except subprocess.TimeoutExpired:
            each.process.kill()
            each.process.wait()
        each.process.stdout.close()


if __name__ == "__main__":
    end_with(int(sys.argv[1]))
    os.chdir(sys.argv[2])
    os.execv(sys.executable, [sys.executable, *sys.argv[3:]])
