"""Records the decisions of every schedule. Existing data are never replaced."""

import json
from pathlib import Path

from decision_schedule import READABLE_SEED, SEEDS, play

DATA = Path(__file__).parent / "data" / "decisions"


def main() -> None:
    """Write both files; raises FileExistsError if one of them exists."""
    DATA.mkdir(parents=True, exist_ok=True)
    with open(DATA / "digests.json", "x") as digests, open(DATA / "first_lines.txt", "x") as readable:
        runs = {seed: play(seed) for seed in SEEDS}
        rows = {str(seed): {"lines": run.lines, "sha256": run.digest} for seed, run in runs.items()}
        digests.write(json.dumps(rows, indent=1) + "\n")
        readable.write("".join(line + "\n" for line in runs[READABLE_SEED].readable_lines))


if __name__ == "__main__":
    main()
