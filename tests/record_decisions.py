"""Records the decisions of every schedule, once: data that is there already is never replaced."""

import json
from pathlib import Path

from decision_schedule import CLEAR_SEED, SEEDS, play

DATA = Path(__file__).parent / "data" / "decisions"


def main() -> None:
    """Write both files; FileExistsError where one of them is there."""
    DATA.mkdir(parents=True, exist_ok=True)
    with open(DATA / "digests.json", "x") as digests, open(DATA / "first_lines.txt", "x") as clear:
        runs = {seed: play(seed) for seed in SEEDS}
        rows = {str(seed): {"lines": run.lines, "sha256": run.digest} for seed, run in runs.items()}
        digests.write(json.dumps(rows, indent=1) + "\n")
        clear.write("".join(line + "\n" for line in runs[CLEAR_SEED].clear))


if __name__ == "__main__":
    main()
