"""Codec of the messages that gateway instances send each other: quota messages and endpoint observations.

A message is self-contained, little-endian and at most `MAX_BYTES` long. Its loss costs at most some units of a quota;
quota requests are sent again until there is a reply. Layout: header, the number of quota messages that it states,
endpoint observations.
"""

from __future__ import annotations

import hashlib
import math
import struct
import zlib
from enum import IntEnum
from typing import NamedTuple

MAX_BYTES = 256
MAX_OBSERVATIONS = 4
TAG_BYTES = 10  # the probability of a collision among 10^9 customers is 4 in 10^7
FORMAT_VERSION = 3
MAX_UINT16 = 0xFFFF
SUSTAINABLE_SCALE = 64  # encoded as multiples of 1/64 of an attempt
UNITS_SCALE = 16  # units and units a second are encoded as multiples of 1/16
MAX_CLASSES = 16  # class and plan indexes have four bits each
MAX_PLANS = 16

# The grade of an endpoint observation encodes the ratio of actual to expected duration on a logarithmic scale.
FAILED_GRADE = 15
EXPECTED_GRADE = 4  # for a ratio of 1
STEPS_PER_OCTAVE = 2  # grades for each factor of 2
MIN_RATIO = 0.25
MAX_RATIO = 32.0

_HEADER = struct.Struct("<BHHB")  # version, boot, sustainable attempts, number of quota messages
_QUOTA_MESSAGE = struct.Struct(f"<B{TAG_BYTES}sHHHB")  # kind, tag, serial, units, demand, class << 4 | plan
_OBSERVATION = struct.Struct("<HB")  # endpoint tag, class << 4 | grade
MAX_QUOTA_MESSAGES = (MAX_BYTES - _HEADER.size - MAX_OBSERVATIONS * _OBSERVATION.size) // _QUOTA_MESSAGE.size


class QuotaMessageKind(IntEnum):
    """Kind of a quota message."""

    REQUEST = 1  # to the owner: requests units
    GRANT = 2  # from the owner: the units are granted
    QUEUED = 3  # from the owner: the request is queued
    DEBIT = 4  # to the owner: the units were taken from a local bucket
    REFUND = 5  # to the owner: the units were not used, or the request has ended
    RETRY = 6  # to the owner: requests units for a client's retry


_KINDS = frozenset(int(kind) for kind in QuotaMessageKind)


class QuotaMessage(NamedTuple):
    """One message between a borrower and a quota owner, about one request of a customer."""

    kind: QuotaMessageKind
    customer_tag: int
    serial: int  # number of the request at the borrower
    units: float
    demand_per_s: float  # units that the customer requests: at the borrower, or from the owner at all borrowers
    class_index: int
    plan_index: int


class EndpointObservation(NamedTuple):
    """The outcome of one attempt of the sender at an endpoint."""

    endpoint_tag: int
    class_index: int
    grade: int


class PeerReport(NamedTuple):
    """The content of one message."""

    boot: int  # random number that identifies the sender's process
    sustainable_attempts: float  # attempts that the sender can have in flight
    quota_messages: tuple[QuotaMessage, ...]
    observations: tuple[EndpointObservation, ...]


def observation_of(endpoint: str, class_index: int, latency_ratio: float) -> EndpointObservation:
    """Return the observation of an attempt with this ratio of actual to expected duration, infinity if it failed."""
    if latency_ratio == math.inf:
        grade = FAILED_GRADE
    else:
        octaves = math.log2(max(MIN_RATIO, min(MAX_RATIO, latency_ratio)))
        grade = EXPECTED_GRADE + round(STEPS_PER_OCTAVE * octaves)
    return EndpointObservation(endpoint_tag(endpoint), class_index & 15, grade)


def latency_ratio_of(observation: EndpointObservation) -> float:
    """Return the ratio of actual to expected duration of an observation, infinity if the attempt failed."""
    if observation.grade == FAILED_GRADE:
        return math.inf
    return 2 ** ((observation.grade - EXPECTED_GRADE) / STEPS_PER_OCTAVE)


def customer_tag(customer: str, key: bytes = b"") -> int:
    """Return a keyed hash of a customer's name, equal at all gateway instances with the same key.

    With an unkeyed hash anyone could find a name that collides with another customer's tag and use up its quota.
    """
    digest = hashlib.blake2b(customer.encode(errors="surrogatepass"), digest_size=TAG_BYTES, key=key).digest()
    return int.from_bytes(digest, "little")


def endpoint_tag(endpoint: str) -> int:
    """Return a checksum of an endpoint's id."""
    return zlib.crc32(endpoint.encode()) & MAX_UINT16


def encode(
    boot: int,
    sustainable_attempts: float,
    quota_messages: list[QuotaMessage],
    observations: list[EndpointObservation],
) -> bytes:
    """Encode a message; quota messages and observations beyond its maximum size are left out."""
    quota_messages = quota_messages[:MAX_QUOTA_MESSAGES]
    header = _HEADER.pack(
        FORMAT_VERSION, boot & MAX_UINT16, _clip(sustainable_attempts * SUSTAINABLE_SCALE), len(quota_messages)
    )
    parts = [header]
    parts += [_encode_quota_message(message) for message in quota_messages]
    for observation in observations[:MAX_OBSERVATIONS]:
        class_and_grade = observation.class_index << 4 | observation.grade
        parts.append(_OBSERVATION.pack(observation.endpoint_tag, class_and_grade))
    return b"".join(parts)


def decode(data: bytes) -> PeerReport | None:
    """Decode a message from an untrusted sender; None if it is malformed."""
    if len(data) < _HEADER.size or len(data) > MAX_BYTES or data[0] != FORMAT_VERSION:
        return None
    _, boot, sustainable, count = _HEADER.unpack_from(data)
    observations_start = _HEADER.size + count * _QUOTA_MESSAGE.size
    if len(data) < observations_start or (len(data) - observations_start) % _OBSERVATION.size:
        return None
    rows = list(_QUOTA_MESSAGE.iter_unpack(data[_HEADER.size : observations_start]))
    if any(row[0] not in _KINDS for row in rows):
        return None
    return PeerReport(
        boot,
        sustainable / SUSTAINABLE_SCALE,
        tuple(_quota_message(*row) for row in rows),
        tuple(
            EndpointObservation(tag, class_and_grade >> 4, class_and_grade & 15)
            for tag, class_and_grade in _OBSERVATION.iter_unpack(data[observations_start:])
        ),
    )


def _encode_quota_message(message: QuotaMessage) -> bytes:
    return _QUOTA_MESSAGE.pack(
        message.kind,
        message.customer_tag.to_bytes(TAG_BYTES, "little"),
        message.serial & MAX_UINT16,
        _clip(message.units * UNITS_SCALE),
        _clip(message.demand_per_s * UNITS_SCALE),
        message.class_index << 4 | message.plan_index,
    )


def _quota_message(kind: int, tag: bytes, serial: int, units: int, demand: int, class_and_plan: int) -> QuotaMessage:
    return QuotaMessage(
        QuotaMessageKind(kind),
        int.from_bytes(tag, "little"),
        serial,
        units / UNITS_SCALE,
        demand / UNITS_SCALE,
        class_and_plan >> 4,
        class_and_plan & 15,
    )


def _clip(value: float) -> int:
    return max(0, min(MAX_UINT16, round(value)))
