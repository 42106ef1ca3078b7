"""Measures without a fleet: the controller alone, seeded models, and file sizes. Takes a minute of one core.

They are stored in the results under "micro", each part by its name.
"""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.scale import partition, subsets, warming
from benchmarks.scale.plan import PLAN, TODAY, Size


def file_sizes(size: Size) -> dict[str, int]:
    """Return the sizes of the files that a gateway reads in a fleet of this size, in bytes."""
    from benchmarks.scale.files import Files, Sizes

    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        files = Files(Path(folder), Sizes(size.gatekeepers, size.workers, size.routes, size.tenants), 8000)
        files.write_peers(dict.fromkeys(range(size.gatekeepers), 8001))
        files.write_main(0, 8001)
        return {
            "roster": files.endpoint_list.stat().st_size,
            "settings": files.settings_bytes(),
            "one_file": (files.folder / "routes/s0000.conf").stat().st_size,
        }


def measure() -> dict[str, Any]:
    """Return all measures as plain values."""
    from benchmarks.scale.axes import BASE

    base = replace(PLAN, gatekeepers=BASE.gatekeepers, workers=BASE.workers, routes=BASE.routes, tenants=BASE.tenants)
    return {
        "subsets": subsets.measure(),
        "warming": warming.measure(),
        "apart": partition.measure(),
        "files": {"today": file_sizes(TODAY), "base": file_sizes(base), "plan": file_sizes(PLAN)},
    }
