"""Constants of the accounts area."""

from typing import Final

COUNTS_STREAM: Final = "counts"
