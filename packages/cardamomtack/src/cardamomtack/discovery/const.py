"""Constants of the discovery area."""

from typing import Final

HOLD_LAPSED_S: Final = 2.5
"""How long entries that vanish around an outage of their source are held."""
