"""The workspaces of one version of the configuration, found by their keys.

Keys are not kept: each is known by its digest with a secret of this process, so that
neither the memory nor the time of a lookup reveals a key. A directory never changes.
The next one shares with it what both hold, so a version that does not come into force
leaves the one in force as it is.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from cardamomtack.workspaces.policy import Workspace

DIGEST_BYTES = 16
PERSON_ENTRY = b"entry"
PERSON_KEY = b"key"
SHARDS = 1024
"""Parts in which keys are kept; a version copies those in which it changes a key."""

UNUSABLE = b""
"""Stands for a key that can't be used among the digests of a workspace."""


class KeyDigester:
    """Computes keyed digests, which reveal nothing without the secret.

    Parameters
    ----------
    secret : bytes
        Random bytes, 16 to 64 of them, that no other process knows.

    Attributes
    ----------
    keys : int
        Keys whose digest was computed so far.
    """

    __slots__ = ("_secret", "keys")

    def __init__(self, secret: bytes) -> None:
        self._secret = secret
        self.keys = 0

    def digest_key(self, key: bytes) -> bytes:
        """Return the digest of a key."""
        self.keys += 1
        return self._digest(key, PERSON_KEY)

    def digest_entry(self, data: bytes) -> bytes:
        """Return the digest of what a record says of one workspace."""
        return self._digest(data, PERSON_ENTRY)

    def _digest(self, data: bytes, person: bytes) -> bytes:
        """Return a digest for one use."""
        return blake2b(
            data, key=self._secret, person=person, digest_size=DIGEST_BYTES
        ).digest()


@dataclass(slots=True, frozen=True, eq=False)
class WorkspaceEntry:
    """What a record says of one workspace.

    Attributes
    ----------
    workspace : Workspace or None
        None when its name can't be used.
    digests : tuple of bytes
        The digests of its keys, each once and by its place in the record;
        ``UNUSABLE`` for a key that can't be used.
    """

    workspace: Workspace | None
    digests: tuple[bytes, ...]


class _KeyHolders:
    """Who holds each key, by its digest.

    Parameters
    ----------
    earlier : _KeyHolders or None
        What is known already; it is shared, and copied where a change is made.

    Attributes
    ----------
    shared : dict
        The keys that several hold, by their digest.
    """

    __slots__ = ("_own", "_shards", "shared")

    def __init__(self, earlier: _KeyHolders | None) -> None:
        self._own: set[int | bytes] = set()
        self._shards: list[dict[bytes, WorkspaceEntry]] = [{}] * SHARDS
        self.shared: dict[bytes, set[WorkspaceEntry]] = {}
        if earlier is not None:
            self._shards = earlier._shards.copy()
            self.shared = earlier.shared.copy()

    def find_sole(self, digest: bytes) -> WorkspaceEntry | None:
        """Return the only holder of a key, or None when nobody or several hold it."""
        return self._shards[_choose_shard(digest)].get(digest)

    def add(self, digest: bytes, holder: WorkspaceEntry) -> None:
        """Add a holder of a key."""
        if digest in self.shared:
            self._copy_shared(digest).add(holder)
            return
        shard = self._copy_shard(digest)
        other = shard.pop(digest, None)
        if other is None:
            shard[digest] = holder
            return
        self._own.add(digest)
        self.shared[digest] = {other, holder}

    def remove(self, digest: bytes, holder: WorkspaceEntry) -> None:
        """Remove a holder of a key."""
        if digest not in self.shared:
            del self._copy_shard(digest)[digest]
            return
        holders = self._copy_shared(digest)
        holders.discard(holder)
        if len(holders) == 1:
            del self.shared[digest]
            self._copy_shard(digest)[digest] = holders.pop()

    def _copy_shard(self, digest: bytes) -> dict[bytes, WorkspaceEntry]:
        """Return the shard of a digest, for a change."""
        number = _choose_shard(digest)
        if number not in self._own:
            self._own.add(number)
            self._shards[number] = self._shards[number].copy()
        return self._shards[number]

    def _copy_shared(self, digest: bytes) -> set[WorkspaceEntry]:
        """Return the holders of a key that several hold, for a change."""
        if digest not in self._own:
            self._own.add(digest)
            self.shared[digest] = self.shared[digest].copy()
        return self.shared[digest]


def _choose_shard(digest: bytes) -> int:
    """Return the number of the shard of a digest."""
    return (digest[0] << 8 | digest[1]) % SHARDS


class WorkspaceDirectory:
    """Finds the workspaces of one version.

    A key that several workspaces hold belongs to none of them. Several workspaces of
    one name, and workspaces without a name, are not served, and their keys are
    ambiguous.

    Parameters
    ----------
    digester : KeyDigester
        Computes the digests of keys, the same ones for all versions.
    entries : sequence of WorkspaceEntry
        What the record says, each entry once. Entries of the earlier version are taken
        for unchanged.
    earlier : WorkspaceDirectory or None
        The directory of another version, most of which may be unchanged.
    """

    __slots__ = ("_digester", "_entries", "_holders", "_names")

    def __init__(
        self,
        digester: KeyDigester,
        entries: Sequence[WorkspaceEntry],
        earlier: WorkspaceDirectory | None = None,
    ) -> None:
        self._digester = digester
        self._entries = tuple(entries)
        self._holders: _KeyHolders = _KeyHolders(earlier._holders if earlier else None)
        self._apply_changes(earlier._entries if earlier else ())
        named = [one.workspace for one in entries if one.workspace is not None]
        counts = Counter(workspace.name for workspace in named)
        self._names = {one.name: one for one in named if counts[one.name] == 1}

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key, or None when none does."""
        return self._find_by_digest(self._digester.digest_key(key))

    def find_by_name(self, name: str) -> Workspace | None:
        """Return a workspace by its name, or None when it is unknown."""
        return self._names.get(name)

    def is_ambiguous(self, key: bytes) -> bool:
        """Return whether a key is in the record and still belongs to nobody."""
        digest = self._digester.digest_key(key)
        if digest in self._holders.shared:
            return True
        is_held = self._holders.find_sole(digest) is not None
        return is_held and self._find_by_digest(digest) is None

    def list_shared_keys(self) -> list[tuple[int, int]]:
        """Return the keys that several workspaces hold.

        Returns
        -------
        list of (int, int)
            The numbers of an entry, and of a key in it.
        """
        shared = self._holders.shared
        concerned = {holder for holders in shared.values() for holder in holders}
        return [
            (number, place)
            for number, entry in enumerate(self._entries)
            if entry in concerned
            for place, digest in enumerate(entry.digests)
            if digest in shared
        ]

    def list_shared_names(self) -> list[int]:
        """Return the numbers of the entries whose names others have, too."""
        return [
            number
            for number, entry in enumerate(self._entries)
            if entry.workspace is not None and entry.workspace.name not in self._names
        ]

    def _find_by_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds a key, by its digest."""
        holder = self._holders.find_sole(digest)
        if holder is None or holder.workspace is None:
            return None
        return self._names.get(holder.workspace.name)

    def _apply_changes(self, earlier: Sequence[WorkspaceEntry]) -> None:
        """Add the keys of new entries, and remove those of entries that are gone."""
        known = set(earlier)
        for entry in known.difference(self._entries):
            for digest in filter(None, entry.digests):
                self._holders.remove(digest, entry)
        for entry in self._entries:
            if entry in known:
                continue
            for digest in filter(None, entry.digests):
                self._holders.add(digest, entry)


class UnknownDirectory:
    """Stands for workspaces of which a record says nothing that can be read.

    Each key may be that of a workspace.
    """

    __slots__ = ()

    def find_workspace(self, key: bytes) -> Workspace | None:
        """Return None: no workspace is known."""
        return None

    def find_by_name(self, name: str) -> Workspace | None:
        """Return None: no workspace is known."""
        return None

    def is_ambiguous(self, key: bytes) -> bool:
        """Return True: any key may be that of a workspace."""
        return True
