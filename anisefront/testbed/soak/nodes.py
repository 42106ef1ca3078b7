"""Gateway instances as processes: their files, signals, ends, and what the kernel says of them."""

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
    """One instance over all its lives."""

    def __init__(self, number: int, folder: Path, config: dict[str, Any], record: Record, guard: str | None) -> None:
        self.number, self.config = number, config
        self.file, self.log = folder / f"{number}.json", folder / f"node-{number}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._record = record
        program = ["anisefront"] if guard is None else ["anisefront.testbed.soak.sabotage", guard]
        self._command = [sys.executable, "-m", *program, "node"]

    @property
    def pid(self) -> int | None:
        """The process id of the life that runs."""
        return self.process.pid if self.process is not None and self.process.poll() is None else None

    def write(self) -> None:
        """Write the configuration to its file in one step."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.file)

    def spawn(self, known: list[dict[str, Any]], index: int) -> None:
        """Begin a life that knows this list."""
        self.config["known"] = platform.endpoint_change(index, known, snapshot=True)
        self.write()
        environment = {**os.environ, "PROXY_CONFIG": str(self.file)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self._command, stdout=log, stderr=log, env=environment)
        self._record.write("spawn", number=self.number, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        if self.pid is not None:
            self._record.write("signal", number=self.number, name=number.name)
            self.process.send_signal(number)

    async def until_armed(self) -> None:
        """Wait until the program has a handler for SIGTERM. Before that the system ends it, whatever its code says."""
        while self.pid is not None:
            status = Path(f"/proc/{self.pid}/status").read_text()
            caught = next((int(line.split()[1], 16) for line in status.splitlines() if line.startswith("SigCgt")), 0)
            if caught >> (signal.SIGTERM - 1) & 1:
                return
            await asyncio.sleep(0)

    async def ended(self, term_ms: float) -> None:
        """Wait for the end after a SIGTERM, and kill at the earliest moment that the platform allows."""
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

    async def hang_up_while_reading(self) -> None:
        """Send SIGHUP with a pipe for the file, and return when the process waits in it; `release` lets it go on."""
        self.file.unlink()
        os.mkfifo(self.file)
        self.signal(signal.SIGHUP)
        for _ in range(400):
            try:
                self._pipe = os.open(self.file, os.O_WRONLY | os.O_NONBLOCK)
                return
            except OSError:
                await asyncio.sleep(POLL_S)
        raise RuntimeError(f"instance {self.number} did not read its file")

    def release(self) -> None:
        """Let the process read the rest of its file."""
        os.write(self._pipe, json.dumps(self.config).encode())
        os.close(self._pipe)

    def measure(self, when: str) -> None:
        """Record the descriptors and the memory of the process."""
        if self.pid is None:
            return
        try:
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return  # it has ended in this moment
        memory_kb = next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")), 0)
        if memory_kb:
            self._record.write(
                "measure", number=self.number, when=when, descriptors=descriptors, memory_mb=memory_kb / 1024
            )

    def last_state(self) -> tuple[str, int]:
        """When the instance last reported its state, and its attempts out then."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if '"event": "state"' in line:
                state = json.loads(line)
                return state["timestamp"], state["out"]
        return "", -1
