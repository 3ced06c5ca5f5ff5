"""Workspaces of a soak: their keys, their quota, and the calls that show the keys."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from math import inf
from random import Random

import anyio

from cardamomtack.routing.policy import (
    FleetConfiguration,
    Repeatability,
    RoutePolicy,
)
from cardamomtack.workspaces.directory import (
    KeyDigester,
    WorkspaceDirectory,
    WorkspaceEntry,
)
from cardamomtack.workspaces.policy import Workspace
from tests.cardamomtack_daemon.forwarding.callers import CallerAnswer
from tests.cardamomtack_daemon.forwarding.case import EntryVm
from tests.cardamomtack_daemon.forwarding.memory import (
    ROUTES,
    make_configuration,
    make_route,
)
from tests.cardamomtack_daemon.forwarding.servers import ServerRequest
from tests.cardamomtack_daemon.replicas.contact import StoreContact

APPLY_S = 2.5
KEYS_PER_WORKSPACE = 3
KEY_PREFIX = "key-"
METERED = Workspace("metered", rate_per_s=4.0, burst=4)
PUBLIC = (
    make_route("read-open", Repeatability.IDEMPOTENT, is_public=True),
    make_route("book-open", Repeatability.ONCE_PER_SEND, is_public=True),
)
QUOTA = {"quota_over_share": 0.1, "quota_slack": 20.0}
REVOKED_KEPT = 20
"""How many revoked keys callers go on showing."""

WORKSPACES = (Workspace("one"), Workspace("two"), METERED)


@dataclass(slots=True)
class IssuedKey:
    """A key, the workspace that holds it, and when versions with and without it came.

    A key of no workspace was never issued.
    """

    value: str
    workspace: str
    added_s: float = inf
    revoked_s: float = inf


@dataclass(slots=True)
class KeyedCall:
    """A call, and what was known when it was sent."""

    request_id: str
    route: str
    vm: EntryVm
    key: IssuedKey | None
    is_in_contact: bool
    has_version: bool
    sent_s: float

    @property
    def is_public(self) -> bool:
        """Return whether the route wants no key."""
        return self.route.endswith("-open")

    @property
    def is_known(self) -> bool:
        """Return whether the VM must know the key, until now."""
        if self.key is None or not self.is_in_contact:
            return False
        is_added = self.key.added_s + APPLY_S < self.sent_s
        return is_added and anyio.current_time() < self.key.revoked_s

    @property
    def is_unknown(self) -> bool:
        """Return whether the VM must not know the key."""
        if self.key is None or not self.key.workspace:
            return True
        return self.is_in_contact and self.key.revoked_s + APPLY_S < self.sent_s

    def write_body(self) -> bytes:
        """Return the body, which only bookings have."""
        return b"van" if self.route.startswith("book") else b""

    def write_fields(self) -> str:
        """Return header fields: the key, and a name that servers must not get."""
        key = f"Test-Key: {self.key.value}\r\n" if self.key else ""
        return f"{key}Test-Workspace: forged\r\n"


class SoakWorkspaces:
    """The keys in force and before, the calls, and what must hold for them.

    Attributes
    ----------
    revoked_calls : int
        Calls with keys that were revoked for longer than the bound.
    """

    def __init__(
        self, random: Random, contact: StoreContact, findings: list[str]
    ) -> None:
        self.calls: dict[str, KeyedCall] = {}
        self.revoked_calls = 0
        self._contact = contact
        self._findings = findings
        self._first_s: dict[str, float] = {}
        self._issued = 0
        self._random = random
        self._revoked: list[IssuedKey] = []
        self._valid: list[IssuedKey] = []
        for workspace in WORKSPACES:
            for _ in range(KEYS_PER_WORKSPACE):
                self._add_key(workspace.name, -inf)

    def exchange_key(self) -> None:
        """Revoke a key and add another one to its workspace."""
        key = self._valid.pop(self._random.randrange(len(self._valid)))
        key.revoked_s = anyio.current_time()
        self._revoked = [*self._revoked, key][-REVOKED_KEPT:]
        self._add_key(key.workspace, key.revoked_s)

    def make_configuration(self, version: int) -> FleetConfiguration:
        """Return a configuration with the keys of now."""
        digester = KeyDigester(b"0123456789abcdef")
        entries = []
        for one in WORKSPACES:
            keys = [key.value for key in self._valid if key.workspace == one.name]
            digests = tuple(digester.digest_key(key.encode()) for key in keys)
            entries.append(WorkspaceEntry(one, digests))
        directory = WorkspaceDirectory(digester, entries)
        routes: tuple[RoutePolicy, ...] = (*ROUTES, *PUBLIC)
        return make_configuration(version, routes, workspaces=directory)

    def make_call(
        self, request_id: str, route: str, vm: EntryVm, workspace: str = ""
    ) -> KeyedCall:
        """Return a call with a random key, or one of a workspace."""
        key = self._choose_key(workspace)
        if not workspace and self._random.random() < 0.3:
            route += "-open"
        call = KeyedCall(
            request_id,
            route,
            vm,
            key,
            self._contact.is_in_contact(vm),
            vm.daemon._routes.version > 0,
            anyio.current_time(),
        )
        self.calls[request_id] = call
        is_issued = key is not None and bool(key.workspace)
        self.revoked_calls += is_issued and call.is_unknown
        return call

    def check_arrival(self, request: ServerRequest, call: KeyedCall) -> None:
        """Note a key or a wrong name that a server got."""
        names = []
        for name, value in request.fields:
            plain = name.lower().replace(b"_", b"-")
            if plain == b"test-workspace":
                names.append(value.decode())
            if plain == b"test-key" or KEY_PREFIX.encode() in value:
                self._findings.append(
                    f"{call.request_id} came with {name!r}: {value!r}"
                )
        allowed = []
        if not call.is_unknown and call.key is not None:
            allowed.append([call.key.workspace])
        if call.is_public and not call.is_known:
            allowed.append([])
        if names not in allowed:
            self._note(call, f"came with names {names}")
        if names == [METERED.name]:
            self._first_s.setdefault(call.request_id, anyio.current_time())

    def check_answer(self, call: KeyedCall, answer: CallerAnswer) -> None:
        """Note an answer that the versions in force don't allow."""
        status = answer.status
        is_wanted = call.has_version and not call.is_public
        if is_wanted and call.is_unknown and status not in (0, 401):
            self._note(call, f"got {status} {answer.body!r} in place of 401")
        if status == 401 and (call.is_public or call.is_known):
            self._note(call, "got 401")
        if status != 429:
            return
        if call.key is None or call.key.workspace != METERED.name:
            self._note(call, "got 429 without a quota")
        if not float(answer.headers.get("retry-after", "0")) > 0.0:
            self._note(call, "got 429 without a time to come back")

    def count_most(self, window_s: float) -> int:
        """Return the most requests of the quota's workspace in a window."""
        times = sorted(self._first_s.values())
        ends = [bisect_left(times, at_s + window_s) for at_s in times]
        return max((end - begin for begin, end in enumerate(ends)), default=0)

    def check_quota(self, vm: EntryVm) -> None:
        """Note a window with more requests than the quota and its tolerance."""
        settings = vm.settings
        window_s = settings.quota_window_s
        bound = METERED.rate_per_s * window_s + METERED.burst
        bound = bound * (1.0 + settings.quota_over_share) + settings.quota_slack
        most = self.count_most(window_s)
        if most > bound:
            self._findings.append(f"{most} requests in a window, bound {bound:g}")

    def _add_key(self, workspace: str, added_s: float) -> None:
        self._issued += 1
        value = f"{KEY_PREFIX}{self._issued}"
        self._valid.append(IssuedKey(value, workspace, added_s))

    def _choose_key(self, workspace: str) -> IssuedKey | None:
        draw = self._random.random()
        if workspace:
            valid = [key for key in self._valid if key.workspace == workspace]
            return self._random.choice(valid)
        if draw < 0.1:
            unknown = IssuedKey(f"{KEY_PREFIX}unknown", "")
            return self._random.choice((None, unknown))
        if draw < 0.25 and self._revoked:
            return self._random.choice(self._revoked)
        return self._random.choice(self._valid)

    def _note(self, call: KeyedCall, what: str) -> None:
        key, vm_id = call.key, call.vm.settings.vm_id
        age = ""
        if key is not None:
            added_s, revoked_s = call.sent_s - key.added_s, call.sent_s - key.revoked_s
            age = f", key added {added_s:.2f} s, revoked {revoked_s:.2f} s before it"
        self._findings.append(f"{call.request_id} at {vm_id} {what}{age}")
