"""Constants of the configuration area."""

from typing import Final

CONFIGURATION_STREAM: Final = "configuration"
HISTORY_MAX: Final = 200
REVISION_NONE: Final = -1
