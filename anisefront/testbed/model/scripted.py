"""Traffic for the simulation from a day script, with the customers, mix and deadlines of a loopback run.

Every customer has its own random generator, so an additional group of customers changes no other's arrivals.
"""

from __future__ import annotations

from anisefront.config.types import Config
from anisefront.testbed.model.draws import Draws, Stream
from anisefront.testbed.model.traces import Arrival
from anisefront.testbed.script import Script

STEP_MS = 500.0  # longer gaps are drawn again after this time, so that a surge affects all customers


def generate_arrivals(script: Script, config: Config, seed: int) -> list[Arrival]:
    """Generate the arrivals of a script in order of time, surges included."""
    draws, out, customer = Draws(seed), [], 0
    plans = {plan.name: plan for plan in config.settings.plans}
    classes = {each.name: each for each in config.settings.classes}
    has_units = {route.class_name: bool(route.units_header) for route in config.routes}
    names, shares = list(script.mix), [share / sum(script.mix.values()) for share in script.mix.values()]
    for crowd in script.customer_groups:
        for number in range(crowd.count):
            customer += 1
            rng = draws.generator(Stream.TRAFFIC, customer)
            rate = (crowd.rate_per_s or plans[crowd.plan].rate_per_s * crowd.quota_fraction) / 1000
            at = 0.0
            while at < script.length_ms:
                now_rate = rate * _surge_factor(script, crowd.plan, at)
                step = float(rng.exponential(1 / now_rate)) if now_rate else STEP_MS * 2
                at += min(step, STEP_MS)
                if step <= STEP_MS and at < script.length_ms:
                    name = names[int(rng.choice(len(names), p=shares))]
                    units = float(rng.choice((1, 1, 1, 2))) if has_units.get(name) else 1.0
                    remaining_ms = classes[name].deadline_ms * float(rng.uniform(0.6, 1.0))
                    out.append(
                        Arrival(
                            at,
                            f"customer:{crowd.plan}-{number}",
                            name,
                            crowd.plan,
                            units,
                            remaining_ms,
                            int(rng.integers(script.gatekeepers)),
                            False,
                            bool(rng.random() < script.own_share),
                        )
                    )
    out.sort(key=lambda each: each.at)
    return out


def _surge_factor(script: Script, plan: str, at: float) -> float:
    factor = 1.0
    for fault in script.faults:
        if (
            fault.name == "surge"
            and fault.values["plan"] == plan
            and fault.at_ms <= at < fault.at_ms + fault.values.get("for", 5000.0)
        ):
            factor = fault.values.get("times", 3.0)
    return factor
