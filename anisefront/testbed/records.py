"""Records of the traffic at the simulated peers, as JSON lines. Only the auditor reads them."""

from __future__ import annotations

import json
import time
from typing import Any, TextIO


def now_ms() -> float:
    """Return Unix milliseconds: all recorders run on one machine and share its clock."""
    return time.time() * 1000


class Record:
    """A file of records, one per line, each with a time stamp and a kind."""

    def __init__(self, file: TextIO | None) -> None:
        """Write to `file`, or discard all records if it is None."""
        self._file = file

    def write(self, kind: str, **values: Any) -> None:
        """Append a record. Without a file, discard it."""
        if self._file is not None:
            values = {"at": round(now_ms(), 2), "kind": kind, **values}
            self._file.write(json.dumps(values, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Flush and close the file."""
        if self._file is not None:
            self._file.close()
