"""The standing test's quick set beside the last committed score: `make standing`.

Where the users' bench is not beside the repository it says so in a line and ends with 2."""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
KIT = ROOT.parent / "given/kit/more"
BENCH, SITE = KIT / "mass/bin/lbreal", KIT / "node/sites/neihu-main.toml"


def entries(folder: pathlib.Path) -> list[dict]:
    """What the journal holds of real gatekeepers' scores, the oldest first."""
    found = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return [entry for entry in found if entry.get("cmd") == "real-score" and "gate" in entry.get("figures", {})]


def row(day: dict, before: dict | None) -> str:
    """One day: its score, the last one of that day and seed, and what was served against what the gate wants."""
    last = f"{before['score']:.2f}" if before else "  - "
    broken = [name for name, times in day["rules"].items() if times]
    wants = f"served {day['served']:.3f} (gate {day['served_least']:.3f})"
    said = f"BROKEN: {', '.join(broken)}" if broken else day["fault"] or day["gate"] or ""
    return f"{day['name']:<12} {day['score']:.2f}  last {last}  {wants}  seed {day['seed']}  {said}".rstrip()


def compared(now: dict, before: list[dict]) -> list[str]:
    """A line for each day of a score, and the gate's."""
    last = {(day["name"], day["seed"]): day for entry in before for day in entry["days"]}
    lines = [row(day, last.get((day["name"], day["seed"]))) for day in now["days"]]
    return [*lines, "GATE passed" if now["figures"]["gate"] == 1.0 else "GATE failed"]


def main() -> int:
    if not BENCH.exists():
        print("standing: the users' bench is not beside this repository, so nothing was played")
        return 2
    before = entries(ROOT / "journal")
    why = sys.argv[1] if len(sys.argv) > 1 else "The standing test's quick set on the text as it stands"
    subprocess.run([BENCH, "score", SITE, "--quick", "--why", why], cwd=ROOT, check=False)
    after = entries(ROOT / "journal")
    if len(after) == len(before):
        print("standing: the bench left no score in journal/, see what it said above")
        return 1
    lines = compared(after[-1], before)
    print("\n".join(lines))
    return 0 if lines[-1] == "GATE passed" else 1


if __name__ == "__main__":
    sys.exit(main())
