"""Keeps one stream to each other entry VM."""

from __future__ import annotations

from typing import Protocol

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    WouldBlock,
    connect_tcp,
    create_memory_object_stream,
    create_task_group,
    create_tcp_listener,
    move_on_after,
    sleep,
)
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from loguru import logger

from cardamomtack.generated.peer import Heartbeat, Hello, PeerMessage
from cardamomtack.generated.services import VirtualMachine
from cardamomtack_daemon.peers.accepting import async_accept
from cardamomtack_daemon.peers.const import (
    DIAL_PAUSE_S,
    DIAL_TIMEOUT_S,
    HEARTBEAT_S,
    HELLO_TIMEOUT_S,
    OUTBOX_MAX,
    SILENCE_S_MAX,
)
from cardamomtack_daemon.peers.stream import (
    STREAM_ERRORS,
    MessageStream,
    PeerProtocolError,
    encode_frame,
)


class PeerListener(Protocol):
    """Takes the messages of peers."""

    def build_heartbeat(self) -> Heartbeat:
        """Return what the next heartbeat says."""

    def handle_message(self, peer_id: str, message: PeerMessage) -> PeerMessage | None:
        """Take a message and return the reply, if there is one."""


class PeerLink:
    """An established stream to one peer.

    Attributes
    ----------
    incarnation : str
        Incarnation of the peer.
    """

    __slots__ = ("_outbox", "incarnation", "vm_id")

    def __init__(
        self, vm_id: str, incarnation: str, outbox: MemoryObjectSendStream[bytes]
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self._outbox = outbox

    def send_frame(self, frame: bytes) -> bool:
        """Queue a frame and return whether there was room."""
        try:
            self._outbox.send_nowait(frame)
        except (WouldBlock, BrokenResourceError, ClosedResourceError):
            return False
        return True


class PeerExchange:
    """Dials peers with a greater id, and accepts those with a smaller one.

    Parameters
    ----------
    vm_id, incarnation : str
        Who this VM is.
    listener : PeerListener
        Takes the messages.
    """

    __slots__ = (
        "_dialing",
        "_incarnation",
        "_listener",
        "_tasks",
        "_wanted",
        "links",
        "vm_id",
    )

    def __init__(self, vm_id: str, incarnation: str, listener: PeerListener) -> None:
        self.vm_id = vm_id
        self._incarnation = incarnation
        self._listener = listener
        self._wanted: dict[str, VirtualMachine] = {}
        self._dialing: set[str] = set()
        self._tasks: TaskGroup | None = None
        self.links: dict[str, PeerLink] = {}

    def apply_vm_list(self, vms: list[VirtualMachine]) -> None:
        """Dial the entry VMs that the list names."""
        self._wanted = {
            vm.vm_id: vm
            for vm in vms
            if vm.vm_id != self.vm_id and vm.peer_port is not None
        }
        if self._tasks is None:
            return
        for vm_id in self._wanted:
            if vm_id > self.vm_id and vm_id not in self._dialing:
                self._dialing.add(vm_id)
                self._tasks.start_soon(self._async_keep_link, vm_id)

    def broadcast(self, message: PeerMessage) -> int:
        """Send a message to all peers and return the bytes that takes."""
        frame = encode_frame(message)
        sent = sum(link.send_frame(frame) for link in self.links.values())
        return sent * len(frame)

    def send_message(self, vm_id: str, message: PeerMessage) -> bool:
        """Send a message to one peer and return whether it was queued."""
        link = self.links.get(vm_id)
        return link is not None and link.send_frame(encode_frame(message))

    def find_incarnation(self, incarnation: str) -> str | None:
        """Return the id of the linked VM with an incarnation, or None."""
        for link in self.links.values():
            if link.incarnation == incarnation:
                return link.vm_id
        return None

    async def async_serve(self, address: str, port: int) -> None:
        """Keep the streams until cancelled."""
        listener = await create_tcp_listener(local_host=address, local_port=port)
        async with create_task_group() as tasks:
            self._tasks = tasks
            self.apply_vm_list(list(self._wanted.values()))
            await async_accept(listener, self._async_run_stream)

    async def _async_keep_link(self, vm_id: str) -> None:
        """Dial a peer again and again while the VM list names it."""
        try:
            while vm_id in self._wanted:
                vm = self._wanted[vm_id]
                stream: SocketStream | None = None
                try:
                    with move_on_after(DIAL_TIMEOUT_S):
                        stream = await connect_tcp(vm.address, vm.peer_port or 0)
                    if stream is not None:
                        await self._async_run_stream(stream)
                except OSError:
                    pass
                await sleep(DIAL_PAUSE_S)
        finally:
            self._dialing.discard(vm_id)

    async def _async_run_stream(self, stream: SocketStream) -> None:
        """Greet a peer, then exchange messages until the stream is lost."""
        messages = MessageStream(stream, PeerMessage)
        async with stream:
            try:
                hello = PeerMessage(hello=Hello(self.vm_id, self._incarnation))
                await messages.async_send_frame(encode_frame(hello))
                greeting = (await messages.async_receive(HELLO_TIMEOUT_S)).hello
                if greeting is None:
                    raise PeerProtocolError("first message is not a hello")
                await self._async_exchange(messages, greeting)
            except STREAM_ERRORS as error:
                logger.bind(error=repr(error)).debug("peer stream could not start")

    async def _async_exchange(
        self, messages: MessageStream[PeerMessage], greeting: Hello
    ) -> None:
        """Exchange messages with a peer that has said who it is."""
        outbox, frames = create_memory_object_stream[bytes](OUTBOX_MAX)
        link = PeerLink(greeting.vm_id, greeting.incarnation, outbox)
        self.links[greeting.vm_id] = link
        logger.bind(peer=greeting.vm_id).info("peer stream established")
        try:
            async with outbox, frames, create_task_group() as tasks:
                tasks.start_soon(self._async_send_frames, messages, frames, tasks)
                tasks.start_soon(self._async_send_heartbeats, link)
                await self._async_read_messages(messages, link)
                tasks.cancel_scope.cancel()
        finally:
            if self.links.get(greeting.vm_id) is link:
                del self.links[greeting.vm_id]
            logger.bind(peer=greeting.vm_id).info("peer stream lost")

    async def _async_send_frames(
        self,
        messages: MessageStream[PeerMessage],
        frames: MemoryObjectReceiveStream[bytes],
        tasks: TaskGroup,
    ) -> None:
        """Send what is queued until the stream is lost."""
        try:
            async for frame in frames:
                await messages.async_send_frame(frame)
        except STREAM_ERRORS:
            tasks.cancel_scope.cancel()

    async def _async_send_heartbeats(self, link: PeerLink) -> None:
        """Queue a heartbeat at a fixed interval."""
        while True:
            heartbeat = PeerMessage(heartbeat=self._listener.build_heartbeat())
            link.send_frame(encode_frame(heartbeat))
            await sleep(HEARTBEAT_S)

    async def _async_read_messages(
        self, messages: MessageStream[PeerMessage], link: PeerLink
    ) -> None:
        """Read messages until the stream is lost or silent for too long."""
        try:
            while True:
                message = await messages.async_receive(SILENCE_S_MAX)
                reply = self._listener.handle_message(link.vm_id, message)
                if reply is not None:
                    link.send_frame(encode_frame(reply))
        except STREAM_ERRORS as error:
            logger.bind(peer=link.vm_id, error=repr(error)).debug("peer stream ended")
