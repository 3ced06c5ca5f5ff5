"""Keys, who holds them, and how one version follows another."""

from __future__ import annotations

import gc
import unittest
from random import Random

from cardamomtack.workspaces.directory import (
    UNUSABLE,
    KeyDigester,
    UnknownDirectory,
    WorkspaceDirectory,
    WorkspaceEntry,
)
from cardamomtack.workspaces.identification import KeyFault, identify_workspace
from cardamomtack.workspaces.policy import Workspace

DIGESTER = KeyDigester(b"0123456789abcdef")


def make_entry(name, *keys):
    """Return an entry; a key of None stands for one that can't be used."""
    digests = [UNUSABLE if key is None else DIGESTER.digest_key(key) for key in keys]
    return WorkspaceEntry(Workspace(name) if name else None, tuple(digests))


def make_directory(*entries, earlier=None):
    """Return a directory."""
    return WorkspaceDirectory(DIGESTER, entries, earlier)


def find_name(directory, key):
    """Return the name of the workspace that holds a key, "?" for a key in doubt."""
    found = directory.find_workspace(key)
    if directory.is_ambiguous(key):
        return "?" if found is None else "both"
    return found and found.name


class DirectoryTest(unittest.TestCase):
    """One version."""

    def test_key_of_another_workspace_or_of_none_is_found(self):
        directory = make_directory(
            make_entry("a", b"k1", b"k2"), make_entry("b", b"k3")
        )
        names = [find_name(directory, key) for key in (b"k1", b"k2", b"k3", b"k4", b"")]
        self.assertEqual(names, ["a", "a", "b", None, None])
        self.assertEqual(directory.find_by_name("b"), Workspace("b"))
        self.assertIsNone(directory.find_by_name("c"))

    def test_key_that_two_hold_is_served_to_one_of_them(self):
        directory = make_directory(
            make_entry("a", b"k1", None, b"k2"), make_entry("b", b"k2")
        )
        self.assertEqual(find_name(directory, b"k1"), "a")
        self.assertEqual(find_name(directory, b"k2"), "?")
        self.assertEqual(directory.list_shared_keys(), [(0, 2), (1, 0)])

    def test_requests_are_served_under_a_name_that_two_have(self):
        directory = make_directory(
            make_entry("a", b"k1"), make_entry("a", b"k2"), make_entry("b", b"k3")
        )
        names = [find_name(directory, key) for key in (b"k1", b"k2", b"k3")]
        self.assertEqual(names, ["?", "?", "b"])
        self.assertIsNone(directory.find_by_name("a"))
        self.assertEqual(directory.list_shared_names(), [0, 1])

    def test_key_of_a_workspace_without_a_name_is_called_unknown(self):
        directory = make_directory(make_entry(None, b"k1"), make_entry("b", b"k2"))
        self.assertEqual(find_name(directory, b"k1"), "?")
        self.assertEqual(find_name(directory, b"k2"), "b")

    def test_directory_or_digester_keeps_a_key_in_clear(self):
        key = b"a key that must not be kept"
        found, pending = [], [make_directory(make_entry("a", key))]
        while pending:
            one = pending.pop()
            # Classes and modules lead to the whole process, and to this test.
            if isinstance(one, type) or id(one) in found:
                continue
            found.append(id(one))
            if isinstance(one, bytes | str):
                self.assertNotIn(key[:8], one if isinstance(one, bytes) else b"")
            pending += gc.get_referents(one)
        self.assertGreater(len(found), 5)

    def test_digest_is_the_same_at_another_process(self):
        other = KeyDigester(b"fedcba9876543210")
        self.assertNotEqual(DIGESTER.digest_key(b"k"), other.digest_key(b"k"))
        self.assertNotEqual(DIGESTER.digest_key(b"k"), DIGESTER.digest_entry(b"k"))


class VersionTest(unittest.TestCase):
    """Versions that follow one another."""

    def test_keys_of_a_version_are_those_of_another(self):
        """Any way from version to version leads to what a fresh start finds."""
        random = Random(5)
        keys = [b"k%d" % number for number in range(8)]
        entries = [
            make_entry(random.choice(("a", "b", "c", None)), *random.sample(keys, 3))
            for _ in range(12)
        ]
        directories = [make_directory()]
        for _ in range(400):
            chosen = random.sample(entries, random.randrange(6))
            earlier = random.choice(directories[-3:])
            known = [find_name(earlier, key) for key in keys]
            directory = make_directory(*chosen, earlier=earlier)
            fresh = make_directory(*chosen)
            for key in keys:
                self.assertEqual(find_name(directory, key), find_name(fresh, key))
            self.assertEqual(directory.list_shared_keys(), fresh.list_shared_keys())
            # One that never comes into force leaves the one in force as it is.
            self.assertEqual([find_name(earlier, key) for key in keys], known)
            directories.append(directory)

    def test_unchanged_workspaces_are_copied(self):
        entries = [make_entry(f"w{one}", b"%d" % one) for one in range(2000)]
        before = make_directory(*entries)
        after = make_directory(*entries[1:], earlier=before)
        shards = zip(before._holders._shards, after._holders._shards, strict=True)
        self.assertEqual(sum(one is not other for one, other in shards), 1)


class IdentificationTest(unittest.TestCase):
    """Whose a request is."""

    def test_request_without_one_sound_key_has_a_workspace(self):
        keys = make_directory(
            make_entry("a", b"k1", b"k2"), make_entry("b", b"k2", b"k3")
        )
        cases = [
            ([b"k1"], Workspace("a")),
            ([b" k1\t"], Workspace("a")),
            ([], KeyFault.MISSING),
            ([b" "], KeyFault.MISSING),
            ([b"k1", b"k1"], KeyFault.REPEATED),
            ([b"k1, k3"], KeyFault.UNKNOWN),
            ([b"K1"], KeyFault.UNKNOWN),
            ([b"k2"], KeyFault.AMBIGUOUS),
        ]
        for values, expected in cases:
            with self.subTest(values):
                self.assertEqual(identify_workspace(keys, values), expected)

    def test_list_that_cannot_be_read_makes_keys_unknown(self):
        keys = UnknownDirectory()
        self.assertIs(identify_workspace(keys, [b"k1"]), KeyFault.AMBIGUOUS)
        self.assertIs(identify_workspace(keys, []), KeyFault.MISSING)
        self.assertIsNone(keys.find_by_name("a"))


if __name__ == "__main__":
    unittest.main()
