"""Records of a topic, packed for the links between the VMs.

A page is compressed. A large value is compressed against an earlier value of its key
that both ends have, so that it costs about as much as what has changed in it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from msgspec import DecodeError, msgpack
from zstandard import (
    DICT_TYPE_RAWCONTENT,
    ZstdCompressionDict,
    ZstdCompressionParameters,
    ZstdCompressor,
    ZstdDecompressor,
    ZstdError,
    frame_content_size,
)

from cardamomtack.generated.relay import PackedRecords, TopicRecord, TopicRecords
from cardamomtack.helpers.decoding import DECODE_ERRORS

Bases = dict[str, tuple[int, bytes]]
"""By key: the digest of an earlier value that the other end has, and that value."""

LEVEL = 3
PAGES_KEPT = 8
TABLE_BITS_MIN = 12
TABLE_SHARE_BITS = 3
"""One entry of the tables of the compressor for each 2^3 bytes that it searches."""

UNPACKED_BYTES_MAX = 64 * 1024 * 1024

_RECORDS = msgpack.Decoder(list[TopicRecord])


class PackingError(Exception):
    """Packed records can't be read."""


class BaseUnknownError(Exception):
    """A value is packed against one that is not known here."""


class PagePacker:
    """Packs pages, once for all who are told the same against the same values."""

    __slots__ = ("_pages",)

    def __init__(self) -> None:
        self._pages: OrderedDict[tuple[object, ...], PackedRecords] = OrderedDict()

    def pack(self, page: TopicRecords, revision: int, bases: Bases) -> PackedRecords:
        """Return a packed page.

        Parameters
        ----------
        revision : int
            Tells pages of the same range apart.
        bases : dict
            Against what large values are packed.
        """
        digests = tuple(digest for digest, _ in bases.values())
        span = (page.topic, page.history, page.start, page.end)
        name = (*span, revision, digests)
        packed = self._pages.pop(name, None) or pack_page(page, bases)
        self._pages[name] = packed
        if len(self._pages) > PAGES_KEPT:
            self._pages.popitem(last=False)
        return packed


def pack_page(page: TopicRecords, bases: Bases) -> PackedRecords:
    """Return a packed page."""
    records = [_pack_record(record, bases) for record in page.records]
    body = ZstdCompressor(level=LEVEL).compress(msgpack.encode(records))
    return PackedRecords(page.topic, page.start, page.end, page.history, body)


def unpack_page(
    packed: PackedRecords, find_value: Callable[[str, int], bytes | None]
) -> TopicRecords:
    """Return a page from its packed form.

    Parameters
    ----------
    find_value : callable
        Returns the value of a key with a digest, or None when it is not known.

    Raises
    ------
    BaseUnknownError
        When a value is packed against one that is not known.
    PackingError
        When the page can't be read, or is too large.
    """
    try:
        records = _RECORDS.decode(_decompress(packed.body, None))
    except (DecodeError, *DECODE_ERRORS) as error:
        raise PackingError(str(error)) from error
    whole = [_unpack_record(record, find_value) for record in records]
    return TopicRecords(packed.topic, packed.start, packed.end, whole, packed.history)


def _pack_record(record: TopicRecord, bases: Bases) -> TopicRecord:
    """Return a record whose value is packed where the other end has an earlier one."""
    base = bases.get(record.key)
    if base is None:
        return record
    digest, earlier = base
    table_bits = max(TABLE_BITS_MIN, len(earlier).bit_length() - TABLE_SHARE_BITS)
    parameters = ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(record.value),
        dict_size=len(earlier),
        window_log=max(TABLE_BITS_MIN, (len(earlier) + len(record.value)).bit_length()),
        hash_log=table_bits,
        chain_log=table_bits,
    )
    known = ZstdCompressionDict(earlier, dict_type=DICT_TYPE_RAWCONTENT)
    compressor = ZstdCompressor(dict_data=known, compression_params=parameters)
    packed = compressor.compress(record.value)
    return TopicRecord(record.offset, record.key, packed, digest)


def _unpack_record(
    record: TopicRecord, find_value: Callable[[str, int], bytes | None]
) -> TopicRecord:
    """Return a record with its whole value."""
    if record.base_digest is None:
        return record
    earlier = find_value(record.key, record.base_digest)
    if earlier is None:
        raise BaseUnknownError(f"a value of {record.key} is packed against another")
    known = ZstdCompressionDict(earlier, dict_type=DICT_TYPE_RAWCONTENT)
    return TopicRecord(record.offset, record.key, _decompress(record.value, known))


def _decompress(data: bytes, known: ZstdCompressionDict | None) -> bytes:
    """Return what was compressed.

    Raises
    ------
    PackingError
        When it can't be read, or is too large.
    """
    try:
        # The size is checked before there is memory for it.
        size = frame_content_size(data)
        if not 0 <= size <= UNPACKED_BYTES_MAX:
            raise PackingError(f"{size} bytes in a packed page")
        return ZstdDecompressor(dict_data=known).decompress(data)
    except ZstdError as error:
        raise PackingError(str(error)) from error
