"""What all senders saw, put together: latencies by front, class and end, and whether the schedule was kept."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from anisefront.testbed.load.sender import histogram

LATE_US, LATE_SHARE = 10_000, 0.01  # more than this share sent later than this: the senders could not keep up
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Report:
    """The sum of some tallies."""

    def __init__(self, tallies: Sequence[dict[str, Any]]) -> None:
        self.latency: dict[str, HdrHistogram] = {}
        self.lateness, self.counts = histogram(), Counter[str]()
        for tally in tallies:
            self.counts.update(tally["counts"])
            self.lateness.add(HdrHistogram.decode(tally["lateness"]))
            for name, data in tally["latency"].items():
                if name not in self.latency:
                    self.latency[name] = histogram()
                self.latency[name].add(HdrHistogram.decode(data))

    def whole(self) -> HdrHistogram:
        """Latencies of all that was sent."""
        out = histogram()
        for each in self.latency.values():
            out.add(each)
        return out

    @property
    def late_share(self) -> float:
        """The share that was sent notably later than scheduled."""
        total = self.lateness.get_total_count()
        if not total:
            return 0.0
        late = sum(
            item.count_added_in_this_iter_step
            for item in self.lateness.get_recorded_iterator()
            if item.value_iterated_to > LATE_US
        )
        return late / total

    @property
    def fell_behind(self) -> bool:
        """Whether the load was not what was asked for."""
        return self.late_share > LATE_SHARE or self.counts["not sent"] > 0

    def rows(self) -> list[tuple[str, int, list[float]]]:
        """Name, count and quantiles in milliseconds; the whole first."""
        named = [("all", self.whole()), *sorted(self.latency.items())]
        return [
            (name, each.get_total_count(), [each.get_value_at_percentile(q) / 1000 for q in QUANTILES])
            for name, each in named
            if each.get_total_count()
        ]

    def text(self) -> str:
        """The table, and a plain word where the senders fell behind."""
        lines = [f"{'ms from the scheduled time':32} {'count':>8}" + "".join(f"{f'p{q:g}':>10}" for q in QUANTILES)]
        lines += [
            f"{name:32} {count:8}" + "".join(f"{value:10.2f}" for value in values)
            for name, count, values in self.rows()
        ]
        worst = self.lateness.get_max_value() / 1000 if self.lateness.get_total_count() else 0.0
        if self.fell_behind:
            lines.append(
                f"FELL BEHIND: {100 * self.late_share:.1f}% sent more than {LATE_US / 1000:g} ms late, the "
                f"worst {worst:.0f} ms, {self.counts['not sent']} not sent. Latencies hold from the schedule "
                "all the same, but the load was not what was asked for: use more --processes."
            )
        else:
            lines.append(
                f"schedule kept: {100 * self.late_share:.2f}% sent more than {LATE_US / 1000:g} ms late, the "
                f"worst {worst:.1f} ms"
            )
        return "\n".join(lines)
