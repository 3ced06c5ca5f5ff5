"""The settings file, read again after a change with and without a signal."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import anyio

from cardamomtack_platform.watching import CHECK_S, SettingsWatcher, read_stamp
from tests.cardamomtack_platform.test_translation import SETTINGS


class WatcherTest(unittest.TestCase):
    """What is taken, and what leaves the settings in force."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name) / "boot.conf"
        self.path.write_text(SETTINGS)
        self.applied = []
        self.watcher = SettingsWatcher(
            str(self.path), self.applied.append, read_stamp(self.path)
        )

    def test_signal(self):
        self.path.write_text(SETTINGS.replace("graceS=6", "graceS=9"))
        self.watcher.reload()
        self.assertEqual([one.entry.grace_s for one in self.applied], [9.0])

    def test_change_between_the_first_read_and_the_watch(self):
        stamp = read_stamp(self.path)
        self.path.write_text(SETTINGS.replace("graceS=6", "graceS=10"))
        watcher = SettingsWatcher(str(self.path), self.applied.append, stamp)

        async def run():
            with anyio.move_on_after(2 * CHECK_S):
                await watcher.async_watch()

        anyio.run(run)
        self.assertEqual([one.entry.grace_s for one in self.applied], [10.0])

    def test_file_that_is_gone_or_has_a_fault_changes_nothing(self):
        self.path.write_text("node=\n")
        self.watcher.reload()
        self.path.unlink()
        self.watcher.reload()
        self.path.write_bytes(b"\xff\xfe")
        self.watcher.reload()
        self.assertEqual(self.applied, [])

    def test_change_without_a_signal(self):
        async def run():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watcher.async_watch)
                self.path.write_text(SETTINGS.replace("graceS=6", "graceS=10"))
                with anyio.fail_after(5 * CHECK_S):
                    while not self.applied:
                        await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(self.applied[0].entry.grace_s, 10.0)


if __name__ == "__main__":
    unittest.main()
