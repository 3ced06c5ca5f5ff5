"""What waits for a VM that takes nothing."""

from __future__ import annotations

import unittest

import anyio

from cardamomtack_daemon.replicas.const import OUTBOX_MAX
from cardamomtack_daemon.replicas.outbox import Outbox


class OutboxTest(unittest.TestCase):
    """One VM whose link takes nothing."""

    def test_messages_to_a_vm_that_takes_nothing_pile_up(self):
        async def run():
            outbox = Outbox(lambda: b"heartbeat")
            for _ in range(3 * OUTBOX_MAX):
                outbox.add_frame(b"frame")
            self.assertLessEqual(len(outbox._frames), OUTBOX_MAX)
            with self.assertRaises(anyio.EndOfStream):
                outbox._take()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
