"""Constants of the claims area."""

from typing import Final

CLAIM_ID_BYTES: Final = 16
CLAIMS_STREAM: Final = "claims"
KEY_LENGTH_MAX: Final = 255
OUTCOME_GATHER_INTERVALS: Final = 2
UUID7_VERSION: Final = 7
