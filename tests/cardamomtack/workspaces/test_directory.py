"""Keys, who holds them, and how one version follows another."""

from __future__ import annotations

import gc
import unittest
from random import Random

from cardamomtack.workspaces.directory import (
    KeyDigester,
    WorkspaceDirectory,
    WorkspaceEntry,
)
from cardamomtack.workspaces.identification import identify_workspace
from cardamomtack.workspaces.policy import Workspace

DIGESTER = KeyDigester(b"0123456789abcdef")


def make_entry(name, *keys):
    """Return an entry."""
    digests = tuple(DIGESTER.digest_key(key) for key in keys)
    return WorkspaceEntry(Workspace(name) if name else None, digests)


def make_directory(*entries, earlier=None):
    """Return a directory."""
    return WorkspaceDirectory(DIGESTER, entries, earlier)


class DirectoryTest(unittest.TestCase):
    """Directories of versions; what records say is tested with their reader."""

    def test_key_is_kept_in_clear(self):
        key = b"a key that must not be kept"
        found, pending = set(), [make_directory(make_entry("a", key))]
        while pending:
            one = pending.pop()
            # Classes lead to all of the process, and to this test.
            if isinstance(one, type) or id(one) in found:
                continue
            found.add(id(one))
            if isinstance(one, bytes):
                self.assertNotIn(key[:8], one)
            pending += gc.get_referents(one)
        self.assertGreater(len(found), 5)

    def test_keys_of_a_version_are_those_of_another(self):
        """Any way from version to version leads to what a fresh start finds."""
        random = Random(5)
        keys = [b"k%d" % number for number in range(8)]
        entries = [
            make_entry(random.choice(("a", "b", "c", None)), *random.sample(keys, 3))
            for _ in range(12)
        ]

        def read(directory):
            holders = [identify_workspace(directory, [key]) for key in keys]
            return holders, directory.list_shared_keys(), directory.list_shared_names()

        directories = [make_directory()]
        for _ in range(400):
            chosen = random.sample(entries, random.randrange(6))
            earlier = random.choice(directories[-3:])
            known = read(earlier)
            directory = make_directory(*chosen, earlier=earlier)
            self.assertEqual(read(directory), read(make_directory(*chosen)))
            # One that never comes into force leaves the one in force as it is.
            self.assertEqual(read(earlier), known)
            directories.append(directory)


if __name__ == "__main__":
    unittest.main()
