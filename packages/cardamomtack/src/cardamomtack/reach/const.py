"""Constants of the reach area."""

from typing import Final

EVIDENCE_S: Final = 5.0
"""For how long a failure speaks against the own way."""

FAILED_OPENS_MIN: Final = 3
"""Servers that must refuse connections before others are asked to reach them."""

HELPER_PAUSE_S_MAX: Final = 8.0
HELPER_PAUSE_S_MIN: Final = 0.5
HELPERS_IN_VAIN_MAX: Final = 4
"""VMs in a row that can't help, after which none is asked for a while."""

IN_VAIN_S: Final = 0.5
RECHECK_S: Final = 2.0
"""For how long servers that others don't reach either are taken for down."""

RETURN_OPENS_MAX: Final = 64
RETURN_STEP_S: Final = 0.25
"""After each step twice as many connections are opened directly."""

SILENT_S_MIN: Final = 0.2
SILENT_SERVERS_MIN: Final = 3
"""Servers that must be silent before the own way is taken for cut."""

TRIAL_PAUSE_S: Final = 0.25
