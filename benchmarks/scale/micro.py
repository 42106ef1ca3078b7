"""The measures that need no fleet: the module alone, models with a seed, sizes of files. A minute of one core.

What is measured goes into the results under "micro", each part by its name."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.scale import partition, subsets, warming
from benchmarks.scale.plan import PLAN, TODAY, Size


def file_sizes(size: Size) -> dict[str, int]:
    """Bytes of the files that a gatekeeper reads in a fleet of this size."""
    from benchmarks.scale.files import Files, Sizes

    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        made = Files(Path(folder), Sizes(size.gatekeepers, size.workers, size.routes, size.tenants), 8000)
        made.write_peers(dict.fromkeys(range(size.gatekeepers), 8001))
        made.write_main(0, 8001)
        return {
            "roster": made.endpoint_list.stat().st_size,
            "settings": made.settings_bytes(),
            "one_file": (made.folder / "routes/s0000.conf").stat().st_size,
        }


def measure() -> dict[str, Any]:
    """All of them, in plain values."""
    from benchmarks.scale.axes import BASE

    base = replace(PLAN, gatekeepers=BASE.gatekeepers, workers=BASE.workers, routes=BASE.routes, tenants=BASE.tenants)
    return {
        "subsets": subsets.measure(),
        "warming": warming.measure(),
        "apart": partition.measure(),
        "files": {"today": file_sizes(TODAY), "base": file_sizes(base), "plan": file_sizes(PLAN)},
    }
