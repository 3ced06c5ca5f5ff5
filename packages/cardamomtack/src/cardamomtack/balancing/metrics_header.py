"""The load that a backend server reports with its answers."""

from __future__ import annotations

from msgspec import Struct, json

from cardamomtack.helpers.decoding import DECODE_ERRORS

JSON_PREFIX = b"JSON "


class NamedMetrics(Struct):
    """The named metrics of a load report.

    Attributes
    ----------
    in_use : float or None
        Slots in use.
    """

    in_use: float | None = None


class LoadMetrics(Struct):
    """The load report of an answer.

    Attributes
    ----------
    named_metrics : NamedMetrics or None
        Metrics that the application names.
    state : str or None
        "starting", "ready" or "draining".
    """

    named_metrics: NamedMetrics | None = None
    state: str | None = None


def parse_load_metrics(value: bytes) -> LoadMetrics | None:
    """Return the load report of a header value, or None when it is malformed."""
    try:
        return json.decode(value.removeprefix(JSON_PREFIX), type=LoadMetrics)
    except DECODE_ERRORS:
        return None
