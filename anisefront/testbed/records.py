"""What crossed a stand-in's sockets, as JSON lines: written here, judged by the auditor alone."""

from __future__ import annotations

import json
import time
from typing import Any, TextIO


def now_ms() -> float:
    """Unix milliseconds: one machine, one clock for all stand-ins."""
    return time.time() * 1000


class Record:
    """One file of records. Each line has its time and kind."""

    def __init__(self, file: TextIO | None) -> None:
        self._file = file

    def write(self, kind: str, **values: Any) -> None:
        """Append one record; without a file, nothing is kept."""
        if self._file is not None:
            values = {"at": round(now_ms(), 2), "kind": kind, **values}
            self._file.write(json.dumps(values, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Write out what is buffered."""
        if self._file is not None:
            self._file.close()
