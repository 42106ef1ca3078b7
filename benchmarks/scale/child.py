"""Child processes of a scale run, both ends of the pipe: one line of JSON per message, and every wait has a timeout.

A child never outlives its parent.

python -m benchmarks.scale.child PARENT FOLDER COMMAND...     executes the command in FOLDER; is killed with its parent
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


class ChildError(Exception):
    """Raised when a child process exits or does not answer in time; the message has its name and last output."""


def end_with_parent(parent: int) -> None:
    """Ask the kernel to kill this process when its parent exits.

    A parent that is killed cannot terminate its children, which would go on loading the machine.
    """
    ctypes.CDLL(None, use_errno=True).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # the parent exited before prctl took effect
        sys.exit(1)


def task() -> dict[str, Any]:
    """Return the parameters that `Child.start_module` passed to this process."""
    parameters = json.loads(sys.argv[1])
    end_with_parent(parameters.pop("parent"))
    return parameters


def send_to_parent(message: Any) -> None:
    """Write one message to the parent."""
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


class Child:
    """One child process; `errors` is the file that receives its standard error."""

    def __init__(self, name: str, command: Sequence[str], errors: TextIO) -> None:
        self.name, self._errors, self._buffer = name, errors, b""
        self.started_s = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, *command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors
        )
        self.pid = self.process.pid

    @classmethod
    def start_module(cls, name: str, module: str, parameters: dict[str, Any], errors: TextIO) -> Child:
        """Start a module of this package as a process; it reads its parameters with `task`."""
        return cls(name, ["-m", f"benchmarks.scale.{module}", json.dumps(parameters | {"parent": os.getpid()})], errors)

    def send(self, message: Any) -> None:
        """Send one message to the process."""
        try:
            self.process.stdin.write(json.dumps(message).encode() + b"\n")
            self.process.stdin.flush()
        except OSError as problem:
            raise self._error("has closed its standard input") from problem

    def receive(self, seconds: float) -> Any:
        """Return its next message; raises `ChildError` if none arrives in time."""
        end = time.monotonic() + seconds
        while b"\n" not in self._buffer:
            left = end - time.monotonic()
            if left <= 0 or not select.select([self.process.stdout], (), (), left)[0]:
                raise self._error(f"did not answer within {seconds:g} s")
            data = os.read(self.process.stdout.fileno(), 1 << 20)
            if not data:
                raise self._error("has exited")
            self._buffer += data
        line, _, self._buffer = self._buffer.partition(b"\n")
        return json.loads(line)

    def request(self, message: Any, seconds: float = 20.0) -> Any:
        """Send one message and return the answer."""
        self.send(message)
        return self.receive(seconds)

    def _error(self, what: str) -> ChildError:
        self._errors.flush()
        with open(self._errors.name) as file:
            output = file.read()[-1500:]
        return ChildError(f"{self.name} (process {self.pid}) {what}; its standard error: {output or 'empty'}")


def request_all(children: Iterable[Child], message: Any, seconds: float = 20.0) -> list[Any]:
    """Send one message to several processes, then collect their answers in order."""
    children = list(children)
    for each in children:
        each.send(message)
    return [each.receive(seconds) for each in children]


def terminate_all(children: Iterable[Child], seconds: float = 3.0) -> None:
    """Terminate the processes; those still running after `seconds` are killed. Raises nothing."""
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
    end_with_parent(int(sys.argv[1]))
    os.chdir(sys.argv[2])
    os.execv(sys.executable, [sys.executable, *sys.argv[3:]])
