"""Combines the results of all senders: latencies by frontend, class and outcome, and delays against the schedule."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from anisefront.testbed.load.sender import new_histogram

LATE_THRESHOLD_US = 10_000  # a request sent later than this after its scheduled time counts as late
MAX_LATE_FRACTION = 0.01  # with a larger fraction of late requests, the senders could not keep up
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Report:
    """The combined results of several senders."""

    def __init__(self, tallies: Sequence[dict[str, Any]]) -> None:
        """Add up tallies, as `Tally.as_dict` returns them."""
        self.latency: dict[str, HdrHistogram] = {}
        self.lateness, self.counts = new_histogram(), Counter[str]()
        for tally in tallies:
            self.counts.update(tally["counts"])
            self.lateness.add(HdrHistogram.decode(tally["lateness"]))
            for name, encoded in tally["latency"].items():
                if name not in self.latency:
                    self.latency[name] = new_histogram()
                self.latency[name].add(HdrHistogram.decode(encoded))

    def combined_latency(self) -> HdrHistogram:
        """Return the latencies of all requests."""
        combined = new_histogram()
        for entries in self.latency.values():
            combined.add(entries)
        return combined

    @property
    def late_fraction(self) -> float:
        """The fraction of requests that were sent late."""
        total = self.lateness.get_total_count()
        if not total:
            return 0.0
        late = sum(
            item.count_added_in_this_iter_step
            for item in self.lateness.get_recorded_iterator()
            if item.value_iterated_to > LATE_THRESHOLD_US
        )
        return late / total

    @property
    def fell_behind(self) -> bool:
        """Whether the load was lower than requested."""
        return self.late_fraction > MAX_LATE_FRACTION or self.counts["not sent"] > 0

    def rows(self) -> list[tuple[str, int, list[float]]]:
        """Return name, count and percentiles in milliseconds, for all requests first."""
        histograms = [("all", self.combined_latency()), *sorted(self.latency.items())]
        return [
            (
                name,
                entries.get_total_count(),
                [entries.get_value_at_percentile(percentile) / 1000 for percentile in QUANTILES],
            )
            for name, entries in histograms
            if entries.get_total_count()
        ]

    def text(self) -> str:
        """Return the table of latencies, and a warning if the senders fell behind the schedule."""
        lines = [
            f"{'ms from the scheduled time':32} {'count':>8}"
            + "".join(f"{f'p{percentile:g}':>10}" for percentile in QUANTILES)
        ]
        lines += [
            f"{name:32} {count:8}" + "".join(f"{value:10.2f}" for value in values)
            for name, count, values in self.rows()
        ]
        worst = self.lateness.get_max_value() / 1000 if self.lateness.get_total_count() else 0.0
        if self.fell_behind:
            lines.append(
                f"FELL BEHIND: {100 * self.late_fraction:.1f}% sent more than {LATE_THRESHOLD_US / 1000:g} ms late, "
                f"the worst {worst:.0f} ms, {self.counts['not sent']} not sent. Latencies hold from the schedule "
                "all the same, but the load was not what was asked for: use more --processes."
            )
        else:
            lines.append(
                f"schedule kept: {100 * self.late_fraction:.2f}% sent more than {LATE_THRESHOLD_US / 1000:g} ms late, "
                f"the worst {worst:.1f} ms"
            )
        return "\n".join(lines)
