"""docs/CAPACITY.md agrees with the committed results and the plan, and contains no other figures."""

import copy
import pathlib
import re

import pytest

from benchmarks.scale import axes, estimates, page, results, roles, subsets
from benchmarks.scale.plan import PLAN, TODAY
from benchmarks.scale.results import Axis, Fit, Results, Row

ROOT = pathlib.Path(__file__).parent.parent
MEASURED = (*estimates.AXES, *estimates.CHANGES)
MEASURES = sorted({measure for _, _, _, (_, measures, _), _ in page.COSTS for measure in measures} | {"change_cpu_ms"})


def slope(name, measure):
    """Return an artificial cost per unit of an axis: a few percent of the base at the axis' largest size."""
    place = MEASURED.index(name)
    return (1 + place + len(measure) % 3) / 100 / axes.AXES[name].sizes[-1]


def base(name):
    return axes.base("").get(name, 0.0)  # 0 for axes of changes


def true_value(measure, sizes):
    return 1 + sum(slope(name, measure) * (size - base(name)) for name, size in sizes.items())


def sample():
    """Return results as a run would store them, with costs that add up exactly."""
    stored = Results(date="2026-01-01T00:00:00+0000", revision="0000000", machine={"cores": 8, "cpu": "sample"})
    for name in MEASURED:
        sizes = axes.AXES[name].sizes
        axis = stored.axes[name] = Axis("sample", axes.base(name))
        for size in sizes:
            if size == sizes[-1]:
                results.predict(axis, size)
            here = {each: base(each) for each in MEASURED} | {name: size}
            axis.rows.append(Row(size, {measure: true_value(measure, here) for measure in MEASURES}))
        results.compare(axis)
    stored.axes["members"].rows[-1].values["zone_change_cpu_ms"] = 7.0
    stored.axes["services"] = Axis(
        "modules",
        {},
        [
            Row(size, {"held_mb": size / 50, "idle_cpu_ms_s": size / 10, "request_p99_us": 100.0})
            for size in (112, 225, 450)
        ],
        {"idle_cpu_ms_s": Fit("a+b*n", 0.0, 0.1, 0.0, 0.0, 1.0, measured=45.0, predicted=45.0)},
    )
    files = {"roster": 1000, "settings": 1000, "one_file": 100}
    rows = [
        {"known": known, "zone_lost": 0.0}
        | {each: {"spread": 0.1, "under_way": 1.0, "answer": 2.0} for each in subsets.LOAD_INFORMATION}
        for known in subsets.SUBSET_SIZES
    ]
    stored.micro = {
        "parse_list_ms_1000": 5.0,
        "parse_list_ms_11000": 55.0,
        "one_changed_ms_at_850_1000": 1.0,
        "one_changed_ms_at_850_11000": 11.0,
        "files": {"today": files, "base": files, "plan": {"roster": 2_000_000, "settings": 10_000, "one_file": 500}},
        "warming": [{"workers": size, "warming_cpu": size / 400_000} for size in (1375, 11_000)],
        "subsets": {
            "rows": rows,
            "split": [{"groups": each, "answer": 2.0} for each in subsets.GROUPS],
            "ways": [{"way": "ring", "known": 6, "deviation": 0.1, "most": 1.1, "moved": 0.1, "zone_lost": 0.0}],
        },
        "apart": {
            "cuts": [
                {
                    "away_ms": 10.0,
                    "demand": 8.0,
                    "before": 1.0,
                    "during": 1.5,
                    "after": 1.0,
                    "beyond": 70.0,
                    "bound": 90.0,
                }
            ],
            "without_home": {"lost_unknown": 0.0, "others_unknown": 1.0, "lost_known": 1.0, "others_known": 1.0},
        },
    }
    whole = {
        measure: true_value(measure, {name: of(PLAN) for name, of in estimates.AXES.items()}) for measure in MEASURES
    }
    stored.whole = {"values": whole | {"changes": 13, "requests_s": 81.0, "seconds": 300.0}}
    stored.change = {
        "before_revision": "1111111",
        "after": dict.fromkeys(
            (
                "change_cpu_ms",
                "changing_wait_max_ms",
                "quiet_wait_max_ms",
                "loop_ms",
                "changing_check_p99_ms",
                "quiet_check_p99_ms",
                "in_force_s",
                "rss_after_many_mb",
                "rss_before_many_mb",
                "many",
                "start_s",
                "rss_start_mb",
            ),
            10.0,
        ),
    }
    stored.parts = {"routes": {"date": "2026-01-01T00:00", "revision": "0000000", "load_beside": [[1.0], [2.0]]}}
    return stored


def tables(found):
    return {name: make(found) for name, make in page.TABLES.items()}


def test_page_matches_the_committed_results():
    text = page.PAGE.read_text()
    assert text == page.fill(text, results.load()), "run python -m benchmarks.scale page"


@pytest.mark.parametrize(
    "table, change",
    [
        (
            "costs",
            lambda found: found.axes["routes"].fits.__setitem__("rss_mb", Fit("a+b*n", 1.0, 0.01, 0.0, 0.0, 1.0)),
        ),
        ("costs", lambda found: found.whole["values"].__setitem__("rss_mb", 50.0)),
        ("costs", lambda found: found.axes["members"].rows[-1].values.__setitem__("zone_change_cpu_ms", 8.0)),
        ("costs", lambda found: found.micro.__setitem__("parse_list_ms_11000", 900.0)),
        ("order", lambda found: found.micro["warming"][1].__setitem__("warming_cpu", 0.2)),
        (
            "later",
            lambda found: found.axes["tenants"].fits.__setitem__("rss_mb", Fit("a+b*n", 1.0, 0.001, 0.0, 0.0, 1.0)),
        ),
        (
            "off",
            lambda found: found.axes["routes"].fits.__setitem__(
                "rss_mb", Fit("a+b*n", 1.0, 0.01, 0.0, 0.0, 1.0, predicted=100.0, measured=130.0)
            ),
        ),
        ("known", lambda found: found.micro["subsets"]["rows"][2]["reports"].__setitem__("answer", 9.0)),
        ("ways", lambda found: found.micro["subsets"]["ways"][0].__setitem__("moved", 0.5)),
        ("services", lambda found: found.axes["services"].rows[2].values.__setitem__("idle_cpu_ms_s", 5.0)),
        ("carrying", lambda found: found.micro["files"]["plan"].__setitem__("settings", 9_000_000)),
        (
            "troubles",
            lambda found: found.axes["routes"].fits.__setitem__("start_s", Fit("a+b*n", 1.0, 0.01, 0.0, 0.0, 1.0)),
        ),
        ("change", lambda found: found.change["after"].__setitem__("start_s", 2.0)),
        ("costs", lambda found: found.change["after"].__setitem__("change_cpu_ms", 99.0)),
        ("played", lambda found: found.micro["apart"]["cuts"][0].__setitem__("during", 1.9)),
        ("played", lambda found: found.micro["apart"]["without_home"].__setitem__("lost_known", 0.5)),
        ("missing", lambda found: found.axes.pop("routes")),
        ("taken", lambda found: found.parts["routes"].__setitem__("load_beside", [[7.0], [8.0]])),
    ],
)
def test_page_changes_with_a_result(table, change, tmp_path):
    results.save(sample(), tmp_path / "scale.json")
    found = results.load(tmp_path / "scale.json")
    text = page.fill(page.PAGE.read_text(), found)
    changed = copy.deepcopy(found)
    change(changed)
    assert page.fill(text, found) == text
    assert page.fill(text, changed) != text
    assert tables(changed)[table] != tables(found)[table]


def test_rewriting_the_page_is_complete_and_idempotent(tmp_path):
    copied = tmp_path / "page.md"
    copied.write_text(
        re.sub(r"(<!-- table \w+ -->\n).*?(<!-- end -->)", r"\1| old |\n\2", page.PAGE.read_text(), flags=re.DOTALL)
    )
    assert page.write(copied, sample())
    assert not page.write(copied, sample())
    assert "old" not in [line.strip("| ") for line in copied.read_text().splitlines()]


def test_a_missing_figure_is_reported_in_its_cell():
    nothing = tables(Results())
    for name in ("costs", "order", "known", "ways", "services", "played", "off", "taken"):
        assert page.NO_VALUE in nothing[name], name
    for name in (*MEASURED, "services"):
        assert f"axis `{name}` | {page.NO_VALUE}" in nothing["missing"]
    whole = sample()
    for name in [*whole.axes]:
        part = copy.deepcopy(whole)
        del part.axes[name]
        assert f"axis `{name}` | {page.NO_VALUE}" in tables(part)["missing"]
        part = copy.deepcopy(whole)
        part.axes[name].fits.clear()
        assert f"axis `{name}`, the largest size | {page.NO_VALUE}" in tables(part)["missing"]
    for measure in MEASURES:
        part = copy.deepcopy(whole)
        for axis in part.axes.values():
            axis.fits.pop(measure, None)
        part.whole["values"].pop(measure, None)
        part.change = {}
        assert page.costs_table(part).count(page.NO_VALUE) > page.costs_table(whole).count(page.NO_VALUE), measure
    for part in whole.micro:
        reduced = copy.deepcopy(whole)
        del reduced.micro[part]
        tables(reduced)


def test_a_failed_part_is_reported():
    found = sample()
    found.parts["whole"] = {"date": "2026-01-01T00:00", "fault": "no room for the list\nmore"}
    assert "part `whole` | failed: no room for the list |" in page.missing_table(found)


def test_times_of_a_strained_machine_are_marked():
    found = sample()
    assert "strained" not in page.costs_table(found) + page.missing_table(found)
    found.axes["routes"].strained = [5800]
    for table in (page.costs_table(found), page.missing_table(found)):
        assert "strained" in table
    assert "axis `routes` at 5,800 | strained" in page.missing_table(found)
    by_slopes = [line.split("|")[2].strip() for line in page.costs_table(found).splitlines() if "strained" in line]
    assert "added, p99, ms" in by_slopes and "memory, MB" not in by_slopes
    assert any(name == "added p99 (strained)" for name, _, _ in page.crossings(found))
    found.axes["routes"].strained, found.whole["strained"] = [], True
    assert "the run of all axes | strained" in page.missing_table(found)
    assert [line.split("|")[5] for line in page.costs_table(found).splitlines() if "| added, p99, ms" in line][
        0
    ].endswith("(strained) ")


def test_a_short_run_of_all_axes_is_marked_as_a_trial():
    found = sample()
    found.parts["whole"] = {"date": "2026-01-01T00:00"}
    assert "trial" not in page.taken_table(found)
    found.whole["values"]["seconds"] = 60.0
    assert "a trial of 60 s" in page.taken_table(found)


@pytest.mark.parametrize("factor, reported", [(1.2, False), (1.3, True), (0.8, False), (0.7, True)])
def test_a_full_run_that_deviates_by_more_than_a_quarter_is_reported(factor, reported):
    found = sample()
    found.whole["values"]["rss_mb"] *= factor
    row = next(line for line in page.costs_table(found).splitlines() if "| memory, MB |" in line)
    assert ("off by more than a quarter" in row) is reported


def test_a_prediction_off_by_more_than_a_quarter_is_listed_with_its_reason(monkeypatch):
    found = sample()
    assert "rss_mb" not in page.off_table(found)
    found.axes["routes"].fits["rss_mb"] = Fit("a+b*n", 1.0, 0.01, 0.0, 0.0, 1.0, predicted=100.0, measured=126.0)
    assert "| routes | rss_mb 1.26 | not explained |" in page.off_table(found)
    found.axes["routes"].rows[-1].values["sent_late_p99_ms"] = 100.0
    assert "| routes | rss_mb 1.26 | the machine was strained |" in page.off_table(found)
    monkeypatch.setitem(roles.EXPLANATIONS, ("routes", "rss_mb"), "the index doubles")
    assert "| routes | rss_mb 1.26 | the index doubles |" in page.off_table(found)


def test_costs_add_up_along_the_axes():
    found = sample()
    for size in (TODAY, PLAN):
        expected = true_value("rss_mb", {name: of(size) for name, of in estimates.AXES.items()})
        assert estimates.estimate(found, ["rss_mb"], size).value == pytest.approx(expected)
    row = next(line for line in page.costs_table(found).splitlines() if "| memory, MB |" in line)
    assert f"| {roles.short(expected)} " in row


def test_crossings_are_sorted_by_the_fraction_of_the_plan():
    found = sample()
    parts = [at.plan_fraction for _, _, at in page.crossings(found)]
    assert parts == sorted(parts) and len(parts) > 10
    by_name = {(name, axis): at for name, axis, at in page.crossings(found)}
    assert by_name["CPU for control: modules at rest", "services"].size == pytest.approx(370)
    assert by_name["CPU for control while a worker warms up", "workers"].size == pytest.approx(14_800)
    assert by_name["the list's file is taken", "workers"].size == pytest.approx(4 * 2**20 / 2_000_000 * 11_000)
    each, lines = 2_000_000 / 11_000, PLAN.worker_changes_a_day / 11_000 / 86_400
    whole = by_name["traffic: the list whole at each change", "workers"].size
    assert each * whole * lines * whole == pytest.approx(13_000)
    stops = by_name["p99: a stop at each change of the list", "workers"].size
    # fraction of time in which an arriving request waits longer than 1.7 ms
    late_s = (0.006 * stops - 1.7) / 1000 * lines * stops
    assert late_s == pytest.approx(0.01)
    at_base = true_value("wait_max_ms", {name: base(name) for name in MEASURED} | {"settings": 3900 / 1440})
    at = by_name["p99: a stop at each change of settings", "all settings, in step"]
    stop = at_base + (10.0 - at_base) * (at.size * 10_000 - 1000) / 9000  # the line through 1,000 and 10,000 bytes
    assert stop == pytest.approx(1.7 + 0.01 * 86_400_000 / 3900)
    lines = page.order_table(found).splitlines()[2:]
    shown = [float(line.split("|")[-2].strip(" *")) for line in lines]
    assert shown == sorted(shown)
    assert all(("**" in line) is (part <= 1) for line, part in zip(lines, shown, strict=True))


def test_prose_uses_only_figures_of_the_plan_and_the_tables():
    text = page.PAGE.read_text()
    known = page.prose_figures() | page.figures("\n".join(page.TABLES[name](results.load()) for name in page.TABLES))
    assert page.figures("of 850, 12.5 and `4 KB`, see [x](a1.md).") == {"850", "12.5"}
    assert not page.figures(page.prose(text)) - known


def test_files_and_classes_named_on_the_page_exist():
    names = [each.mechanism for each in roles.ROLES] + [where for _, where, _, _ in roles.ACCEPTED]
    text = page.PAGE.read_text() + " ".join(names)
    files = set(re.findall(r"`([\w/]+\.(?:py|json|md))`", text))
    assert len(files) > 10
    for name in files:
        assert any((ROOT / part / name).exists() for part in ("", "anisefront", "docs")), name
    rules = re.findall(r"`(policy/\w+\.py)`, `([\w.]+)`", text)
    assert len(rules) > 5
    for file, name in rules:
        last = name.rpartition(".")[2]
        assert re.search(rf"(class|def) {last}\b", (ROOT / "anisefront" / file).read_text()), name


def test_each_role_has_a_cell_for_each_fault():
    rows = roles.fault_effects(3.0, 1e6)
    assert [name for name, _ in rows] == [each.name for each in roles.ROLES]
    assert all(len(cells) == len(roles.FAULTS) and all(cells) for _, cells in rows)


@pytest.mark.parametrize(
    "spoil, message",
    [
        (lambda text: text.replace("<!-- table plan -->", "<!-- table plans -->"), "table plans"),
        (lambda text: text.replace("<!-- end -->\n", "", 1), "pair"),
        (lambda text: text + "<!-- table plan -->\n<!-- end -->\n", "due once"),
        (lambda text: text.replace("<!-- table plan -->\n", "", 1), "pair"),
    ],
)
def test_mismatched_table_marks_raise_a_clear_error(spoil, message):
    with pytest.raises(page.PageError, match=message):
        page.fill(spoil(page.PAGE.read_text()), Results())


def test_conclusions_of_the_page_follow_from_the_results():
    """The page's statements about connections agree with the committed figures."""
    measured = results.load().micro.get("subsets")
    if measured is None:
        assert "| not measured |" in page.strategies_table(results.load())
        return
    rows = {row["known"]: row for row in measured["rows"]}
    reports, true = ([rows[known][each]["answer"] for known in subsets.SUBSET_SIZES] for each in ("reports", "true"))
    assert subsets.sufficient_size(measured) == 6
    assert max(reports) < 1.1 * min(reports)  # smaller subsets cost next to nothing
    assert max(true) < 0.62 * min(reports)  # actual loads would nearly halve the response time
    assert min(rows[known]["chance"]["answer"] for known in subsets.SUBSET_SIZES) < 1.25 * max(reports)
    strategies = {row["way"]: row for row in measured["ways"]}
    assert strategies["ring"]["deviation"] == max(row["deviation"] for row in measured["ways"])
    assert strategies["deterministic subsets"]["moved"] == max(row["moved"] for row in measured["ways"])
    split = [row["answer"] for row in measured["split"]]
    assert split == sorted(split, reverse=True)  # split services have lower response times
