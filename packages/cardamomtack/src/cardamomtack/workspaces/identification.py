"""Tells whose a request is by the key that it brings."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from cardamomtack.workspaces.policy import Workspace, WorkspaceKeys

PADDING = b" \t"


class KeyFault(Enum):
    """Why a request belongs to no workspace, in words for the log and the caller."""

    MISSING = "request has no key"
    REPEATED = "request has more than one key"
    UNKNOWN = "key of the request is unknown"
    AMBIGUOUS = "the configuration does not tell whose key this is"


def identify_workspace(
    keys: WorkspaceKeys, values: Sequence[bytes]
) -> Workspace | KeyFault:
    """Return the workspace of a request, or why it has none.

    Parameters
    ----------
    keys : WorkspaceKeys
        The keys in force.
    values : sequence of bytes
        The values of all fields of the request that hold a key.
    """
    if len(values) > 1:
        return KeyFault.REPEATED
    key = values[0].strip(PADDING) if values else b""
    if not key:
        return KeyFault.MISSING
    workspace = keys.find_workspace(key)
    if workspace is not None:
        return workspace
    return KeyFault.AMBIGUOUS if keys.is_ambiguous(key) else KeyFault.UNKNOWN
