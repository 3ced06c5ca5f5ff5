"""Constants of the measuring area."""

from typing import Final

# Sends that are spaced over a second may arrive closer together, so the window that
# is kept here is longer than the one that is promised.
WINDOW_S: Final = 1.25
PROBERS_PER_SERVER: Final = 2
"""VMs that probe one backend server."""
