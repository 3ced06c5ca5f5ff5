"""Holders that refuse, hang, end or answer invalidly, and invalid messages."""

from __future__ import annotations

import time
import unittest
from errno import EMFILE

import anyio
from msgspec import msgpack

from cardamomtack.generated.quota import (
    GrantedTokens,
    HolderClaim,
    QuotaMessage,
    TokenAnswer,
    TokenAsk,
    TokenReport,
    TokenWant,
)
from cardamomtack.quotas.const import HANDOVER_S
from cardamomtack_daemon.peers.stream import MessageStream, encode_frame
from cardamomtack_daemon.quotas.const import ASK_TIMEOUT_S
from tests.cardamomtack_daemon.quotas.case import (
    QuotaCase,
    QuotaVm,
    configure,
    find_workspace,
)

AT_ONCE_S = 0.05
HUGE = 2**64 - 1
PAIR = ["vm-0", "vm-1"]
WORKSPACE = find_workspace(PAIR, "vm-0", rate_per_s=100.0, burst=100.0)


async def async_hang(stream):
    """Take everything and answer nothing."""
    while True:
        await stream.receive()


async def async_end(stream):
    """End in the middle of an answer."""
    await stream.receive()
    frame = encode_frame(QuotaMessage(answer=TokenAnswer(1)))
    await stream.send(frame[:-1])


def answer_oddly(*answers):
    """Return a holder that sends other answers than were asked for."""

    async def async_answer(stream):
        await stream.receive()
        for answer in answers:
            await stream.send(encode_frame(QuotaMessage(answer=answer)))
        await anyio.sleep(5.0)

    return async_answer


FAILURES = {
    "hangs": async_hang,
    "ends": async_end,
    "answers too little": answer_oddly(TokenAnswer(1)),
    "answers too much": answer_oddly(
        TokenAnswer(1, [GrantedTokens([0, 0, 0])]), TokenAnswer(1, [GrantedTokens([0])])
    ),
    "answers odd numbers": answer_oddly(TokenAnswer(1, [GrantedTokens([-1])])),
    "answers what was not asked": answer_oddly(
        TokenAnswer(HUGE, [GrantedTokens([0], spare=50)])
    ),
}


class FailingHolderTest(QuotaCase):
    """One VM whose holder fails, and then comes back."""

    def play_failure(self, failure):
        """Let a holder fail in some way, and then answer."""

        async def scenario(tasks, asker):
            holder = QuotaVm(0)
            asker.know(holder)
            # The asker has held all by itself before.
            await anyio.sleep(2.0 * HANDOVER_S)
            scope = anyio.CancelScope()

            async def serve() -> None:
                listener = await anyio.create_tcp_listener(
                    local_host="127.0.0.1", local_port=holder.settings.quota_port
                )
                with scope:
                    async with listener:
                        await listener.serve(handle)

            async def handle(stream):
                async with stream:
                    try:
                        await failure(stream)
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return

            if failure is not None:
                tasks.start_soon(serve)
                await anyio.sleep(0.05)
            began_s = time.monotonic()
            first = await asker.async_ask(WORKSPACE, 1)
            self.assertLess(time.monotonic() - began_s, 2.0 * ASK_TIMEOUT_S)
            began_s = time.monotonic()
            later = await asker.async_ask(WORKSPACE, 60)
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
            decisions = first + later
            self.assertEqual({one.holder_id for one in decisions}, {""})
            # Two VMs share a slack of 40 in a window of 5 s.
            self.assertLessEqual(sum(one.is_admitted for one in decisions), 20)
            refused = [one for one in decisions if not one.is_admitted]
            self.assertTrue(all(0 < one.retry_after_s <= 1.0 for one in refused))
            scope.cancel()
            await anyio.sleep(0.05)
            holder.know(asker)
            holder.service.apply_configuration(configure())
            tasks.start_soon(holder.async_run)
            await asker.async_wait_held(WORKSPACE)

        self.play(scenario, numbers=(1,), slack=40.0)

    def test_holder_refuses(self):
        self.play_failure(None)

    def test_holder_fails(self):
        """Guards against requests that wait for it, and against tokens of nobody."""
        for name, failure in FAILURES.items():
            with self.subTest(name):
                self.play_failure(failure)

    def test_vm_of_the_previous_build_holds_nothing(self):
        async def scenario(tasks, asker):
            old = QuotaVm(0)
            old.member.quota_port = 0
            asker.know(old)
            (decision,) = await asker.async_ask(WORKSPACE)
            self.assertEqual(decision.holder_id, "vm-1")

        self.play(scenario, numbers=(1,))


def want(**changes):
    """Return a message that asks for a token, with odd values."""
    values = {"name": "a", "rate_per_s": 1.0, "burst": 1.0, "version": 1, "keys": [1]}
    return encode_frame(
        QuotaMessage(ask=TokenAsk(1, [TokenWant(**{**values, **changes})]))
    )


def frame(body):
    """Return a frame with any body."""
    return len(body).to_bytes(4, "big") + body


ODD = [
    b"\xff\xff\xff\xff",
    frame(b"\x91" * 60_000),
    frame(msgpack.encode({"ask": {"number": "x"}})),
    frame(msgpack.encode({"ask": 5})),
    want(name=""),
    want(name="x" * 300),
    want(rate_per_s=float("nan")),
    want(rate_per_s=float("inf")),
    want(rate_per_s=0.0),
    want(rate_per_s=-1.0),
    want(burst=1e300),
    want(version=HUGE),
    want(keys=[-1]),
    want(keys=[HUGE]),
    want(keys=[1] * 100_000),
    want(spare=HUGE),
    want(left_ms=-5),
    encode_frame(QuotaMessage(ask=TokenAsk(1, [], [TokenReport("a", unused=HUGE)]))),
    encode_frame(QuotaMessage(ask=TokenAsk(1, [], [TokenReport("a", waiting=-7)]))),
    encode_frame(QuotaMessage(claim=HolderClaim("vm 9\r\n", "1", ["vm-9"]))),
    encode_frame(QuotaMessage(claim=HolderClaim("vm-9", "1", ["vm-9"] * 1000))),
]


class FailingListener:
    """Accepts nothing, as a process without free descriptors."""

    async def serve(self, handler, task_group=None):
        raise OSError(EMFILE, "Too many open files")

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None


class OddMessageTest(QuotaCase):
    """One VM that grants, and must grant on."""

    def test_odd_messages_end_their_stream_and_no_other(self):
        async def scenario(tasks, holder):
            port = holder.settings.quota_port
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                messages = MessageStream(stream, QuotaMessage)
                for number, data in enumerate(ODD):
                    with self.subTest(number), anyio.fail_after(1.0):
                        async with await anyio.connect_tcp("127.0.0.1", port) as odd:
                            await odd.send(data)
                            with self.assertRaises(
                                (anyio.EndOfStream, anyio.BrokenResourceError)
                            ):
                                await odd.receive()
                await stream.send(want(rate_per_s=1e-300))
                message = await messages.async_receive(1.0)
                self.assertEqual(len(message.answer.grants), 1)

        self.play(scenario, numbers=(0,))

    def test_longest_version_of_a_configuration_is_answered(self):
        """Guards against VMs that refuse each other's messages as of some version."""

        async def scenario(tasks, holder):
            port = holder.settings.quota_port
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                messages = MessageStream(stream, QuotaMessage)
                await stream.send(want(version=16**15 - 1))
                message = await messages.async_receive(1.0)
                self.assertEqual(len(message.answer.grants), 1)

        self.play(scenario, numbers=(0,))

    def test_connection_that_can_not_be_accepted_ends_no_service(self):
        """Guards against a VM that ends because it has no free descriptor."""

        async def scenario(tasks, holder):
            with anyio.move_on_after(0.3) as scope:
                await holder.service._server.async_serve(FailingListener())
            self.assertTrue(scope.cancelled_caught)

        self.play(scenario, numbers=(0,))

    def test_message_of_an_unknown_kind_is_passed_over(self):
        async def scenario(tasks, holder):
            port = holder.settings.quota_port
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                messages = MessageStream(stream, QuotaMessage)
                await stream.send(frame(msgpack.encode({"news": [1, 2]})))
                await stream.send(want())
                message = await messages.async_receive(1.0)
                self.assertEqual(len(message.answer.grants), 1)

        self.play(scenario, numbers=(0,))


if __name__ == "__main__":
    unittest.main()
