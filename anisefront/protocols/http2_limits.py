"""Limits of one HTTP/2 connection, and the allowance for frames that carry no work."""

from __future__ import annotations

from dataclasses import dataclass

from anisefront.protocols.http2_frames import ErrorCode, Http2ConnectionError

DEFAULT_WINDOW_BYTES = 65_535  # RFC 9113, section 6.9.2
MIN_MAX_FRAME_BYTES = 16_384  # section 6.5.2: the initial value, and the smallest one


@dataclass(frozen=True, slots=True)
class Http2Limits:
    """Resources of this process that one client may use."""

    max_streams: int = 4096
    max_frame_bytes: int = MIN_MAX_FRAME_BYTES
    max_header_block_bytes: int = 16_384  # compressed, all CONTINUATION frames together
    max_header_list_bytes: int = 32_768  # as section 6.5.2 counts it, with 32 bytes more for each field
    max_continuations: int = 8
    max_upgrade_body_bytes: int = 256 << 10  # of a request by HTTP/1.1 that upgrades to h2c
    connection_window_bytes: int = 1 << 20
    stream_window_bytes: int = DEFAULT_WINDOW_BYTES
    max_queued_bytes: int = 4 << 20  # responses that the client's flow control delays
    frame_allowance: float = 1000.0  # resets, pings, settings and empty frames at once
    frame_allowance_per_s: float = 100.0  # and continuously


class FrameAllowance:
    """Token bucket of frames that cost the client nothing and this process a response or a search.

    Without it, rapid reset (CVE-2023-44487) and floods of PING, SETTINGS, PRIORITY and empty DATA frames
    (CVE-2019-9512, -9513, -9515, -9518; RFC 9113, section 10.5) would take the event loop's time from all other
    connections.
    """

    __slots__ = ("_available", "_limits", "_refilled_ms")

    def __init__(self, limits: Http2Limits) -> None:
        """Create a full allowance."""
        self._limits = limits
        self._available = limits.frame_allowance
        self._refilled_ms: float | None = None

    def refill(self, now_ms: float) -> None:
        """Add what accrued since the last refill."""
        if self._refilled_ms is not None:
            elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1000
            accrued = elapsed_s * self._limits.frame_allowance_per_s
            self._available = min(self._limits.frame_allowance, self._available + accrued)
        self._refilled_ms = now_ms

    def credit(self) -> None:
        """Add one frame: a stream was answered, which pays for its PINGs and its reset."""
        self._available = min(self._limits.frame_allowance, self._available + 1)

    def spend(self, cost: float, frames: str) -> None:
        """Charge a frame.

        Args:
            cost: 1 for a frame that never carries work, a fraction for one that usually does.
            frames: The name of the frames in the error.

        Raises:
            Http2ConnectionError: The allowance is used up.
        """
        self._available -= cost
        if self._available < 0:
            raise Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, f"too many {frames} frames")
