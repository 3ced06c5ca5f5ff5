"""Constants of the limits area."""

from typing import Final

ENDED_KEPT_S: Final = 60.0
"""For how long it is remembered that a limit has ended, or that its server is gone."""
