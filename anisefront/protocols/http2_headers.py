"""Header blocks of HTTP/2: HPACK (RFC 7541) encoding and decoding, and the rules for request headers."""

from __future__ import annotations

import hpack

from anisefront.protocols.http2_frames import ErrorCode, Http2ConnectionError
from anisefront.protocols.http2_limits import Http2Limits

MAX_CACHED_BLOCKS = 64
MAX_CACHED_BLOCK_BYTES = 512  # exclusive
_LITERAL_NEW_NAME = 0  # literal header field without indexing, new name: RFC 7541, section 6.2.2
_STRING_LENGTH_BITS = 7
_REQUIRED_PSEUDO_HEADERS = {b":method", b":scheme", b":path"}
_PSEUDO_HEADERS = {*_REQUIRED_PSEUDO_HEADERS, b":authority"}
_CONNECTION_HEADERS = {b"connection", b"transfer-encoding", b"upgrade", b"keep-alive", b"proxy-connection"}

Headers = list[tuple[bytes, bytes]]


def literal_block(*headers: tuple[str, str]) -> bytes:
    """Encode a header block of literals that use no dynamic table, so that it can be encoded once and sent often."""
    block = bytearray()
    for name, value in headers:
        block.append(_LITERAL_NEW_NAME)
        for text in (name.encode("ascii"), value.encode("latin-1")):
            block += _encode_integer(len(text), _STRING_LENGTH_BITS)
            block += text
    return bytes(block)


def _encode_integer(value: int, prefix_bits: int) -> bytes:
    """Encode an integer with a prefix (RFC 7541, section 5.1)."""
    max_prefix = (1 << prefix_bits) - 1
    if value < max_prefix:
        return bytes((value,))
    encoded = bytearray((max_prefix,))
    value -= max_prefix
    while value >= 0x80:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


class HeaderDecoder:
    """Decodes the header blocks of one connection.

    Decoding a block that does not change the dynamic table has no side effect, so its result is cached until the table
    changes. Clients repeat the block of a method for each call.
    """

    def __init__(self, limits: Http2Limits) -> None:
        """Create a decoder with an empty dynamic table."""
        self._max_block_bytes = limits.max_header_block_bytes
        self._decoder = hpack.Decoder(max_header_list_size=limits.max_header_list_bytes)
        self._table = _VersionedHeaderTable()
        self._decoder.header_table = self._table
        self._cache: dict[bytes, Headers] = {}
        self._cache_version = 0

    def decode(self, block: bytes) -> Headers:
        """Return the fields of a block.

        Raises:
            Http2ConnectionError: The block is too large or can't be decoded. The dynamic table is then unknown, so the
                connection must end (RFC 9113, section 4.3).
        """
        if self._cache_version != self._table.version:
            self._cache.clear()
            self._cache_version = self._table.version
        cached = self._cache.get(block)
        if cached is not None:
            return cached
        headers = self._decode(block)
        is_cacheable = self._cache_version == self._table.version and len(block) < MAX_CACHED_BLOCK_BYTES
        if is_cacheable and len(self._cache) < MAX_CACHED_BLOCKS:
            self._cache[block] = headers
        return headers

    def _decode(self, block: bytes) -> Headers:
        if len(block) > self._max_block_bytes:
            raise Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header block too large")
        try:
            return [(bytes(name), bytes(value)) for name, value in self._decoder.decode(block, raw=True)]
        except hpack.OversizedHeaderListError as error:  # an HPACK bomb (CVE-2016-6581)
            raise Http2ConnectionError(ErrorCode.ENHANCE_YOUR_CALM, "a header list too large") from error
        except (hpack.HPACKError, UnicodeDecodeError, IndexError) as error:
            raise Http2ConnectionError(ErrorCode.COMPRESSION_ERROR, "a header block that can't be read") from error


class _VersionedHeaderTable(hpack.table.HeaderTable):
    """A header table that counts its changes."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Add an entry."""
        self.version += 1
        super().add(name, value)

    def _shrink(self) -> None:
        self.version += 1
        super()._shrink()


def is_well_formed(headers: Headers) -> bool:
    """Tell whether the headers are those of a request (RFC 9113, sections 8.2 and 8.3).

    A field that another HTTP implementation would interpret differently could smuggle a request past the checks
    (section 10.3): pseudo-headers come first and once, names are in lower case, values have no line ends, and there is
    no field that concerns one connection only.
    """
    pseudo_headers: set[bytes] = set()
    has_field = False
    for name, value in headers:
        if name[:1] == b":":
            if has_field or name in pseudo_headers or name not in _PSEUDO_HEADERS:
                return False
            pseudo_headers.add(name)
            continue
        has_field = True
        if not _is_well_formed_field(name, value):
            return False
    return pseudo_headers >= _REQUIRED_PSEUDO_HEADERS


def _is_well_formed_field(name: bytes, value: bytes) -> bool:
    if not name or name != name.lower() or name in _CONNECTION_HEADERS:
        return False
    return b"\r" not in value and b"\n" not in value and b"\0" not in value
