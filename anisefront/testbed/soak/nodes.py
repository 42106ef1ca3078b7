"""Gateway instances as processes: their configuration files, signals, exits, and resource use."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from anisefront.testbed.records import Record, now_ms
from anisefront.testbed.soak import platform

POLL_S = 0.005


class Node:
    """One gateway instance, as a series of processes that restarts separate."""

    def __init__(self, number: int, folder: Path, config: dict[str, Any], record: Record, faults: str | None) -> None:
        """Keep files in `folder`; `faults` names the sabotage that its processes run with, if any."""
        self.number, self.config = number, config
        self.file, self.log = folder / f"{number}.json", folder / f"node-{number}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._record = record
        module = ["anisefront"] if faults is None else ["anisefront.testbed.soak.sabotage", faults]
        self._command = [sys.executable, "-m", *module, "node"]

    @property
    def pid(self) -> int | None:
        """Id of the running process; None if there is none."""
        return self.process.pid if self.process is not None and self.process.poll() is None else None

    def write(self) -> None:
        """Replace the configuration file atomically."""
        new_file = self.file.with_suffix(".new")
        new_file.write_text(json.dumps(self.config))
        new_file.replace(self.file)

    def spawn(self, endpoints: list[dict[str, Any]], index: int) -> None:
        """Start a process whose configuration holds this endpoint list."""
        self.config["known"] = platform.endpoint_change(index, endpoints, snapshot=True)
        self.write()
        environment = {**os.environ, "PROXY_CONFIG": str(self.file)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self._command, stdout=log, stderr=log, env=environment)
        self._record.write("spawn", number=self.number, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.pid is not None:
            self._record.write("signal", number=self.number, name=number.name)
            self.process.send_signal(number)

    async def wait_for_sigterm_handler(self) -> None:
        """Wait until the process has a handler for SIGTERM; before that, the default action would kill it."""
        while self.pid is not None:
            status = Path(f"/proc/{self.pid}/status").read_text()
            caught_signals = next(
                (int(line.split()[1], 16) for line in status.splitlines() if line.startswith("SigCgt")), 0
            )
            if caught_signals >> (signal.SIGTERM - 1) & 1:
                return
            await asyncio.sleep(0)

    async def wait_for_exit(self, term_ms: float) -> None:
        """Wait for the exit after a SIGTERM, and kill the process at the earliest time that the platform may."""
        kill_ms, killed = term_ms + platform.kill_after_ms(), False
        while self.process.poll() is None:
            if now_ms() >= kill_ms and not killed:
                killed = True
                self.signal(signal.SIGKILL)
            await asyncio.sleep(POLL_S)
        after_ms = now_ms() - term_ms
        allowed_ms = platform.kill_after_ms()
        code = self.process.returncode
        self._record.write("exit", number=self.number, code=code, after=after_ms, allowed=allowed_ms, killed=killed)

    async def reload_from_pipe(self) -> None:
        """Send SIGHUP with a pipe in place of the file; return once the process blocks reading it.

        `finish_reload` writes the contents.
        """
        self.file.unlink()
        os.mkfifo(self.file)
        self.signal(signal.SIGHUP)
        for _ in range(400):
            try:
                self._pipe = os.open(self.file, os.O_WRONLY | os.O_NONBLOCK)
                return
            except OSError:
                await asyncio.sleep(POLL_S)
        raise RuntimeError(f"instance {self.number} did not open its configuration file after SIGHUP")

    def finish_reload(self) -> None:
        """Write the configuration to the pipe, so that the process finishes its reload."""
        os.write(self._pipe, json.dumps(self.config).encode())
        os.close(self._pipe)

    def measure(self, when: str) -> None:
        """Record the number of open descriptors and the resident memory of the process."""
        if self.pid is None:
            return
        try:
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return  # it exited meanwhile
        memory_kb = next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")), 0)
        if memory_kb:
            self._record.write(
                "measure", number=self.number, when=when, descriptors=descriptors, memory_mb=memory_kb / 1024
            )

    def last_state(self) -> tuple[str, int]:
        """Return when the instance last logged its state, and its attempts in flight then; ("", -1) if never."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if '"event": "state"' in line:
                state = json.loads(line)
                return state["timestamp"], state["out"]
        return "", -1
