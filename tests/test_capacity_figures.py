"""Calculations behind docs/CAPACITY.md: estimates, crossings, subsets, quotas in partitions, settings distribution."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anisefront.config.config_builder import MESSAGES_PER_S
from anisefront.policy.actions import SendToPeer
from anisefront.policy.controller import Controller
from anisefront.policy.events import Arrival, EndpointList, PeerMessage, TimerFired
from anisefront.policy.peer_codec import encode
from anisefront.policy.quota_borrower import QuotaBorrower
from anisefront.policy.quota_parameters import RESERVE_FRACTION
from anisefront.policy.settings import Idempotency, Plan, RequestClass, Settings
from benchmarks.scale import axes, estimates, fit, partition, settings_distribution, subsets, warming
from benchmarks.scale.plan import PLAN, ZONES
from benchmarks.scale.results import Axis, Fit, Results

NAMES = list(estimates.AXES)
GATEKEEPERS, WORKERS = 200, 24


def results_of(fits):
    return Results(axes={name: Axis("", axes.base(name), [], {"cost": each}) for name, each in fits.items()})


@given(
    st.lists(st.floats(0, 5), min_size=len(NAMES), max_size=len(NAMES)),
    st.floats(0, 100),
    st.integers(0, len(NAMES) - 1),
)
def test_estimates_are_sums_over_the_axes_and_crossings_lie_on_them(slopes, floor, grows):
    base = {name: 0.0 if name in estimates.QUIET else axes.base("")[name] for name in NAMES}
    at_base = floor + sum(slope * base[name] for name, slope in zip(NAMES, slopes, strict=True))
    fits = {
        name: Fit("a+b*n", at_base - slope * base[name], slope, 0.0, 0.0, 1.0)
        for name, slope in zip(NAMES, slopes, strict=True)
    }
    stored = results_of(fits)
    expected = floor + sum(slope * estimates.AXES[name](PLAN) for name, slope in zip(NAMES, slopes, strict=True))
    assert estimates.estimate(stored, ["cost"], PLAN).value == pytest.approx(expected, abs=1e-6)
    name = NAMES[grows]
    limit = at_base + slopes[grows] * estimates.AXES[name](PLAN) / 2
    crossed = estimates.crossing(stored, name, ["cost"], limit)
    if slopes[grows] > 1e-6:
        assert fit.at(fits[name], crossed.size) == pytest.approx(limit)
        assert crossed.plan_fraction == pytest.approx(crossed.size / estimates.AXES[name](PLAN))
    step = estimates.crossing_in_step(stored, ["cost"], expected)
    assert step.plan_fraction == pytest.approx(1) or expected - floor < 1e-3


def test_an_insignificant_slope_adds_nothing_but_its_error_counts():
    significant, insignificant = (Fit("a+b*n", 0.0, 1.0, 0.0, err, 1.0) for err in (0.4, 0.6))
    base = axes.base("")["routes"]
    size, flat = estimates.AXES["routes"](PLAN) - base, Fit("a+b*n", base, 0.0, 0.0, 0.0, 1.0)
    for each, gains in ((significant, size), (insignificant, 0.0)):
        said = estimates.estimate(results_of({"routes": each, "workers": flat}), ["cost"], PLAN)
        assert said.value == pytest.approx(base + gains)
        assert said.error == pytest.approx(each.err_b * size)
        assert said.missing_axes == tuple(name for name in NAMES if name not in ("routes", "workers"))


def test_the_first_crossing_is_returned_and_a_missing_one_is_reported():
    non_monotonic = estimates.solve("", lambda size: size if size < 30 else -size, 20.0, 10.0)
    assert non_monotonic.size == pytest.approx(20) and non_monotonic.plan_fraction == pytest.approx(2)
    assert estimates.solve("", lambda size: 5.0, 4.0, 10.0).size == 0
    assert math.isinf(estimates.solve("", lambda size: 5.0, 6.0, 10.0).size)
    assert estimates.estimate(Results(), ["cost"], PLAN) is None
    assert estimates.crossing(Results(), "routes", ["cost"], 1.0) is None


def test_cost_of_a_settings_change_is_a_line_by_bytes_through_the_measurements():
    files = {"files": {"base": {"settings": 1000}, "plan": {"settings": 9000}}}
    axis = Axis("", {}, [], {"cpu": Fit("a+b*n", 4.0, 0.0, 0.0, 0.0, 1.0)})
    both = Results(axes={"settings": axis}, micro=files, change={"after": {"cpu": 20.0}})
    line = estimates.by_settings(both, "cpu", "cpu")
    assert [line(size) for size in (1000, 5000, 9000)] == [pytest.approx(each) for each in (4, 12, 20)]
    assert estimates.by_settings(Results(axes={"settings": axis}, micro=files), "cpu", "cpu")(2000) == pytest.approx(8)
    only = Results(micro=files, change={"after": {"cpu": 18.0}})
    assert estimates.by_settings(only, "cpu", "cpu")(4500) == pytest.approx(9)
    assert estimates.by_settings(Results(change=both.change), "cpu", "cpu") is None


def test_an_inverse_fit_adds_its_difference():
    base, inverse = axes.base("")["gatekeepers"], Fit("a+b/n", 1.0, 400.0, 0.0, 10.0, 1.0)
    flat = Fit("a+b*n", 1 + 400 / base, 0.0, 0.0, 0.0, 1.0)
    said = estimates.estimate(results_of({"gatekeepers": inverse, "workers": flat}), ["cost"], PLAN)
    assert said.value == pytest.approx(1 + 400 / PLAN.gatekeepers)
    assert said.error == pytest.approx(10 * (1 / base - 1 / PLAN.gatekeepers))


def test_figures_of_two_sizes_are_interpolated():
    figures = {"parse_1000": 5.0, "parse_11000": 55.0, "parse_more": 1.0}
    assert estimates.interpolate(figures, "parse", 6000) == pytest.approx(30)
    assert estimates.interpolate({"parse_1000": 5.0}, "parse", 6000) is None


# ---- subsets -------------------------------------------------------------------------------------


def test_connections_match_simulated_poisson_requests():
    """The calculation agrees with a simulation of one gateway's requests."""
    rng, known, idle_s, groups, seconds = random.Random(5), 6, 60.0, 50, 900.0
    services = int(PLAN.services / groups)
    last, found, count, now = {}, 0, 0, 0.0
    while now < seconds:
        now += rng.expovariate(PLAN.gateway_requests_per_s)
        worker = rng.randrange(services * known)
        count += 1
        found += now - last.get(worker, -math.inf) <= idle_s
        last[worker] = now
    said = subsets.connections(known, idle_s, groups)
    assert found / count == pytest.approx(said.found_open, abs=0.02)
    assert sum(now - at <= idle_s for at in last.values()) == pytest.approx(said.open_here, rel=0.05)
    assert said.met_every_s == pytest.approx(services * known / PLAN.gateway_requests_per_s)
    for known in subsets.SUBSET_SIZES:  # both ends count the same connections, however the services are split
        for split in (1, 50):
            each = subsets.connections(known, idle_s, split)
            assert each.open_here * PLAN.gatekeepers == pytest.approx(
                each.open_there * PLAN.services * PLAN.service_workers
            )


@pytest.mark.parametrize("name", subsets.STRATEGIES)
def test_each_gateway_gets_a_subset_of_the_right_size_without_duplicates(name):
    chosen = subsets.STRATEGIES[name](GATEKEEPERS, list(range(WORKERS)), 6)
    assert chosen == subsets.STRATEGIES[name](GATEKEEPERS, list(range(WORKERS)), 6)
    expected = {"all": WORKERS, "own zone": WORKERS // ZONES}.get(name, 6)
    assert all(len(set(each)) == len(each) == expected for each in chosen)
    assert {worker for each in chosen for worker in each} == set(range(WORKERS))


def test_subsetting_strategies_have_their_known_evenness_and_stability():
    evenness = {
        name: subsets.evenness(strategy(GATEKEEPERS, list(range(WORKERS)), 6), WORKERS)
        for name, strategy in subsets.STRATEGIES.items()
    }
    assert evenness["deterministic subsets"][0] < 0.02 < evenness["rendezvous hashing"][0] < evenness["ring"][0]
    assert evenness["all"] == (0.0, 1.0)
    moved = {
        name: subsets.moved_fraction(subsets.STRATEGIES[name], GATEKEEPERS, WORKERS, 6)
        for name in ("rendezvous hashing", "deterministic subsets", "all")
    }
    assert moved["all"] == 0 and moved["rendezvous hashing"] == pytest.approx(1 / WORKERS, rel=0.25)
    assert moved["deterministic subsets"] > 0.3


def test_fraction_of_gateways_short_of_workers_after_the_loss_of_a_zone():
    assert subsets.short_of_workers([(0, 8), (1, 2), (1, 2)], 0) == 0  # the first gateway is in the lost zone itself
    assert subsets.short_of_workers([(0, 8), (0, 2), (1, 2)], 0) == 0.5
    rows = [
        {"known": known, "zone_lost": lost, "reports": {"answer": answer}}
        for known, lost, answer in ((2, 0.1, 3.0), (4, 0.0, 3.3), (6, 0.0, 3.1), (24, 0.0, 3.0))
    ]
    assert subsets.sufficient_size({"rows": rows}) == 6
    assert subsets.sufficient_size({"rows": [rows[0] | {"zone_lost": 1.0}]}) is None


def test_queueing_model_matches_known_results():
    """Random choice takes 1 / (1 - utilization) service times, actual loads far less; seeds are reproducible."""
    known = subsets.rendezvous(GATEKEEPERS, list(range(WORKERS)), 6)
    simulations = {each: subsets.simulate(known, WORKERS, each, 120.0, 3) for each in subsets.LOAD_INFORMATION}
    assert simulations["chance"].answer == pytest.approx(1 / (1 - subsets.UTILIZATION), rel=0.2)
    assert simulations["true"].answer < 0.7 * simulations["reports"].answer < 0.9 * simulations["chance"].answer
    assert simulations["true"].under_way < simulations["chance"].under_way
    assert subsets.simulate(known, WORKERS, "reports", 20.0, 3) == subsets.simulate(known, WORKERS, "reports", 20.0, 3)


# ---- quotas in partitions of regions ---------------------------------------------------------------------


def test_simulated_partition_of_regions_stays_within_the_stated_bound():
    """During the partition the excess is near the bound but below it; there is none before and after."""
    found = partition.simulate_partition(customers=12, connected_s=12.0, partitioned_s=40.0)
    assert found["before"] == pytest.approx(1, abs=0.03)
    assert 0.6 * found["bound"] < found["beyond"] <= found["bound"]
    assert found["after"] < 1.25  # no more than the burst that filled up in the meantime


def test_quota_holds_with_distant_quota_owners():
    """With 40 ms one way between regions and a latency objective of 300 ms, the quota is admitted and no more."""
    found = partition.simulate_partition(region_delay_ms=40.0, customers=9, connected_s=8.0, partitioned_s=1.0)
    assert found["before"] < 1.05


def test_unlimited_credit_exceeds_the_bound(monkeypatch):
    """With a request on credit at each quota request the bound does not hold, so the simulation can exceed it."""
    original = QuotaBorrower.reply_overdue

    def unlimited_credit(self, now, request):
        account = request.claim.account
        account.local_bucket = max(account.local_bucket, 0.0)
        return original(self, now, request)

    monkeypatch.setattr(QuotaBorrower, "reply_overdue", unlimited_credit)
    found = partition.simulate_partition(customers=12, connected_s=6.0, partitioned_s=20.0)
    assert found["beyond"] > found["bound"]


@given(st.integers(1, 900), st.floats(0.1, 100), st.floats(0, 1000))
def test_the_worst_case_and_wider_sets_have_higher_bounds(spread, rate, burst):
    even, worst = partition.steady(spread, rate, burst), partition.worst_case(spread, rate, burst)
    assert even.total(60) <= worst.total(60) + 1e-9
    assert partition.steady(spread + 3, rate, burst).at_once >= even.at_once
    reserve_units = RESERVE_FRACTION * burst  # with small bursts each partition grants relatively more
    assert even.per_s < rate if reserve_units >= 3 else even.per_s <= 2 * rate / max(1.0, reserve_units)
    assert partition.steady(1, rate, burst).total(60) == 0


def test_tenants_of_a_failed_owner_are_not_served_until_its_failure_is_known():
    found = partition.simulate_failed_owner(customers=45, seconds=8.0)
    assert found["customers"] >= 3
    assert found["lost_unknown"] == 0 and found["others_unknown"] > 0.9
    assert found["lost_known"] > 0.95 and found["others_known"] > 0.95
    wide = partition.simulate_failed_owner(burst=400.0, customers=45, seconds=8.0)
    assert wide["lost_unknown"] > 0.5  # local buckets have enough for requests


# ---- batching of quota requests -----------------------------------------------------


@pytest.mark.parametrize("rate, waits", [(MESSAGES_PER_S, False), (200.0, True)])
def test_at_twice_the_planned_peak_no_quota_request_waits_for_a_batch(rate, waits):
    """7 of 8 gateways of a set send their quota requests to another one, and each gets as many replies."""
    messages_per_s = 2 * 2 * PLAN.gateway_requests_per_s * 7 / 8
    controller = Controller(
        Settings(
            gateways=15,
            number=0,
            zone="a",
            classes=(RequestClass("view", 1000.0, 5000.0, 1.0, Idempotency.IDEMPOTENT),),
            plans=(Plan("small", 100.0, 16.0),),
            warm_up_ms=1000.0,
            slow_start_initial_factor=0.2,
            overload_multiple=3.0,
            overload_window_ms=1000.0,
            max_attempts=1,
            peer_messages_enabled=True,
            inbox_per_s=rate,
        ),
        1,
    )
    now, gap_ms, empty = 1000.0, 1000 / messages_per_s, encode(1, 1.0, [], [])
    controller.handle(now, [EndpointList(())])
    for number in range(round(4 * messages_per_s)):
        now += gap_ms
        controller.handle(now, [PeerMessage(1 + number % 14, empty), TimerFired("agenda")])
    sent = [
        sum(
            isinstance(action, SendToPeer)
            for action in controller.handle(
                now + 5 * place, [Arrival(place, f"c{place}", "view", "small", now + 5000.0, 1.0, 7, 1)]
            )
        )
        for place in (1, 2, 3)
    ]
    assert sent == ([1, 0, 0] if waits else [1, 1, 1])


# ---- settings distribution, and worker warm-up --------------------------------------------------------


@settings(max_examples=20)
@given(st.integers(0, 200_000))
def test_bytes_on_the_wire_include_the_overhead_of_each_datagram(data):
    parts = max(1, math.ceil(data / 1200))
    assert settings_distribution.on_wire(data) == data + parts * (45 + 28)


def test_retransmission_ends_when_few_receivers_are_missing():
    sends = settings_distribution.tries(850)
    received = (1 - settings_distribution.LOSS) ** 2
    assert 850 * (1 - received) ** sends <= 0.001 < 850 * (1 - received) ** (sends - 1)


def test_dissemination_rounds_grow_logarithmically():
    counts = [settings_distribution.rounds(members, 0.0) for members in (50, 850, 5000)]
    assert counts == sorted(counts) and counts[2] < 2.5 * counts[0]
    assert settings_distribution.rounds(850, 0.5) > counts[1]
    assert settings_distribution.rounds(850, 1.0, max_rounds=5) == 5


def test_methods_that_send_files_need_their_sizes():
    names = [each.name for each in settings_distribution.methods(None, None)]
    assert len(names) == 3
    all_methods = {each.name: each for each in settings_distribution.methods(1e6, 1000.0)}
    assert len(all_methods) == 5
    whole = all_methods["whole settings to each, at each change"]
    straight = all_methods["a change set to each, straight from the five"]
    assert whole.each_bytes_s > 13_000 > straight.each_bytes_s
    assert straight.sent_bytes == 170 * settings_distribution.on_wire(settings_distribution.CHANGE_BYTES)
    assert straight.lossless_s < straight.lossy_s < straight.machine_down_s < 16


def test_endpoint_list_cost_is_measured_by_size():
    rows = warming.measure((50, 100), 0.5)
    assert [row["workers"] for row in rows] == [50, 100]
    assert rows[0]["bytes"] < rows[1]["bytes"]
    one = warming.new_controller(50)
    assert len(one.endpoints.ready) == 50 and not one.endpoints.warming_up
