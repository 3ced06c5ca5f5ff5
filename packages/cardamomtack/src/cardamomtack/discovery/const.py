"""Constants of the discovery area."""

from typing import Final

HOLD_LAPSED_S: Final = 3.0
"""How long after an outage of their source vanished entries are held."""
