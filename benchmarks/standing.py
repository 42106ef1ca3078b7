"""Runs the standing test's quick set on each deployment and compares the scores with the last ones: `make standing`.

Without the bench beside the repository it prints one line and exits with 2.
"""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
KIT = ROOT.parent / "given/kit/more"
BENCH = KIT / "mass/bin/lbreal"
SITES = (
    KIT / "node/sites/neihu-main.toml",
    KIT / "mass/other/varazdin-payouts.toml",
    ROOT / "deploy/sites/kiln-freight.toml",
    ROOT / "deploy/sites/solo-ledger.toml",
)


def entries(folder: pathlib.Path) -> list[dict]:
    """Return the journal's scores of real gateways on whole sets of days, the oldest first."""
    found = [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]
    return [entry for entry in found if entry.get("cmd") == "real-score" and "gate" in entry.get("figures", {})]


def of_site(found: list[dict], site: str) -> list[dict]:
    """Return the entries of this site's quick set."""
    return [entry for entry in found if pathlib.Path(entry["argv"][0]).name == site and "--quick" in entry["argv"]]


def day(now: dict, before: dict | None) -> str:
    """Format one day: its score, the last one of that day and seed, and the broken rules."""
    previous = f" (last {before['score']:.2f})" if before else ""
    broken = [name for name, times in now["rules"].items() if times]
    verdict = (
        f" BROKEN: {', '.join(broken)}"
        if broken
        else f" {now['fault'] or now['gate']}"
        if now["fault"] or now["gate"]
        else ""
    )
    return (
        f"{now['name']} {now['score']:.2f}{previous} served {now['served']:.2f} of {now['served_least']:.2f}{verdict}"
    )


def line(site: str, now: dict, before: list[dict]) -> str:
    """Format a deployment's line, which ends with the verdict of the gate."""
    last = {(each["name"], each["seed"]): each for entry in before for each in entry["days"]}
    days = "; ".join(day(each, last.get((each["name"], each["seed"]))) for each in now["days"])
    return f"{site}: {days}; GATE {'passed' if now['figures']['gate'] == 1.0 else 'failed'}"


def main() -> int:
    """Score each deployment; return 0 if all passed, 1 if one failed, and 2 without the bench."""
    if not BENCH.exists():
        print("standing: the bench is not beside this repository; nothing was run")
        return 2
    reason = sys.argv[1] if len(sys.argv) > 1 else "The standing test's quick set on the present revision"
    passed = True
    for site in SITES:
        before = entries(ROOT / "journal")
        subprocess.run(
            [BENCH, "score", site, "--quick", "--why", reason], cwd=ROOT, check=False, stdout=subprocess.DEVNULL
        )
        after = entries(ROOT / "journal")
        if len(after) == len(before):
            print(f"{site.name}: the bench wrote no score to journal/; run it alone to see why", flush=True)
            passed = False
            continue
        report = line(site.name, after[-1], of_site(before, site.name))
        print(report, flush=True)
        passed = passed and report.endswith("GATE passed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
