"""Who holds a workspace, while VMs come, go, restart and hear of it late."""

from __future__ import annotations

import unittest

from cardamomtack.generated.relay import Member
from cardamomtack.quotas.const import HANDOVER_S, JOIN_WAIT_S
from cardamomtack.quotas.holders import (
    HolderTable,
    HolderView,
    Tenure,
    choose_holder,
    choose_holders,
)
from cardamomtack.replicas.members import MemberTable

NAMES = [f"workspace-{number}" for number in range(200)]


def make_vm(number: int, run: str = "1", quota_port: int = 7002) -> Member:
    """Return a VM; the first ones have the largest links."""
    return Member(
        f"vm-{number}",
        run,
        f"zone-{number % 4}",
        "127.0.0.1",
        7000,
        link_mbps=1000.0 - number,
        quota_port=quota_port,
    )


def leave(vm: Member) -> Member:
    """Return the news that a VM leaves."""
    return Member(vm.vm_id, vm.incarnation, "", vm.address, vm.port, is_leaving=True)


def make_table(own: Member, others: list[Member]) -> HolderTable:
    """Return the view of one VM, whose start all others have confirmed."""
    table = join(own, others)
    confirm_all(table)
    return table


def join(own: Member, others: list[Member]) -> HolderTable:
    """Return the view of a VM that has just joined."""
    members = MemberTable(own)
    for member in others:
        members.update_member(member)
    table = HolderTable(members, lambda: True)
    table.refresh(0.0)
    return table


def confirm_all(table: HolderTable) -> None:
    """Let all VMs confirm what a VM claims."""
    for member in table.list_claims(JOIN_WAIT_S):
        table.record_confirmed(member.vm_id, [], table.view, JOIN_WAIT_S)


class ChoiceTest(unittest.TestCase):
    """The holders among known VMs."""

    def test_vm_that_is_no_holder_knows_none(self):
        vms = [make_vm(number) for number in range(20)]
        table = join(vms[-1], vms[:-1])
        holder_ids = {table.find(name, 1.0).holder_id for name in NAMES}
        self.assertEqual(holder_ids, {one.vm_id for one in choose_holders(vms)})

    def test_few_vms_with_the_largest_links_hold(self):
        holders = choose_holders([make_vm(number) for number in range(124)])
        self.assertEqual([one.vm_id for one in holders], [f"vm-{i}" for i in range(16)])

    def test_vms_of_the_previous_build_are_passed_over(self):
        vms = [make_vm(number, quota_port=0) for number in range(4)]
        self.assertEqual(choose_holders(vms), [])
        self.assertIsNone(choose_holder("a", []))

    def test_restart_moves_nothing_and_a_loss_little(self):
        """Guards against workspaces that move whenever some VM comes or goes."""
        vms = [make_vm(number) for number in range(124)]

        def place(members):
            vm_ids = [one.vm_id for one in choose_holders(members)]
            return [choose_holder(name, vm_ids) for name in NAMES]

        before = place(vms)
        self.assertEqual(place([make_vm(0, "2"), *vms[1:]]), before)
        self.assertEqual(place(vms[:-1]), before)
        after = place(vms[1:])
        moved = sum(one != other for one, other in zip(before, after, strict=True))
        self.assertLess(moved, len(NAMES) / 5)


class TenureTest(unittest.TestCase):
    """Which VM grants, by the views of several VMs."""

    def count_granting(self, tables, name, now_s):
        """Return how many VMs would grant."""
        found = [table.find(name, now_s) for table in tables]
        return sum(one.began_at_s is not None for one in found)

    def test_every_workspace_has_one_holder(self):
        vms = [make_vm(number) for number in range(10)]
        tables = [make_table(vm, [one for one in vms if one is not vm]) for vm in vms]
        for name in NAMES:
            self.assertEqual(self.count_granting(tables, name, 1.0), 1)
            # VMs that hold nothing have to ask the same one as all others.
            named = {table.find(name, 1.0).holder_id for table in tables}
            self.assertEqual(len(named - {""}), 1)
            self.assertNotIn("", named)

    def test_vm_that_knows_no_others_yet_holds_nothing(self):
        """Guards against a VM that starts and takes itself for the only one."""
        table = HolderTable(MemberTable(make_vm(0)), lambda: False)
        self.assertEqual(table.find("a", 0.0).holder_id, "")

    def test_single_vm_holds_all(self):
        table = join(make_vm(0), [])
        self.assertEqual(table.find("a", 0.5 * JOIN_WAIT_S).holder_id, "")
        self.assertEqual(table.find("a", 1.0).began_at_s, 0.0)

    def test_new_holder_waits_until_the_old_one_has_confirmed(self):
        """Guards against two VMs that grant side by side."""
        old, new = make_vm(1), make_vm(0)
        old_table, new_table = make_table(old, []), join(new, [old])
        for name in NAMES:
            self.assertEqual(self.count_granting([old_table, new_table], name, 1), 1)
        others = old_table.record_claim("vm-0", new_table.view, 1.0)
        self.assertEqual(new_table.list_claims(1.0), [old])
        for name in NAMES:
            self.assertLessEqual(
                self.count_granting([old_table, new_table], name, 1), 1
            )
        new_table.record_confirmed("vm-1", others, new_table.view, 1.0)
        for name in NAMES:
            self.assertEqual(self.count_granting([old_table, new_table], name, 1), 1)

    def test_old_holder_grants_on_until_the_new_one_claims(self):
        """Guards against a gap, and against two holders for more than 0.5 s."""
        old, new = make_vm(1), make_vm(0)
        table = make_table(old, [])
        table.find("a", 10.0)
        table._members.update_member(new)
        self.assertEqual(self.count_granting([table], "a", 10.0), 1)
        gained = next(
            name for name in NAMES if choose_holder(name, ["vm-0", "vm-1"]) == "vm-0"
        )
        self.assertEqual(self.count_granting([table], gained, 10.1), 1)
        self.assertEqual(self.count_granting([table], gained, 10.1 + HANDOVER_S), 0)

    def test_two_new_holders_that_do_not_know_each_other(self):
        """Guards against two VMs that take over from the same one."""
        old, first, second = make_vm(2), make_vm(0), make_vm(1)
        old_table = make_table(old, [])
        tables = [join(first, [old]), join(second, [old])]
        for table in tables:
            others = old_table.record_claim(table.run[0], table.view, 1.0)
            table.record_confirmed("vm-2", others, table.view, 1.0)
        for name in NAMES:
            self.assertLessEqual(
                self.count_granting([old_table, *tables], name, 1.0), 1
            )

    def test_claim_that_arrives_after_its_vm_has_left_changes_nothing(self):
        """Guards against a workspace that is left to a VM that is gone."""
        vm = make_vm(1)
        table = make_table(make_vm(0), [vm])
        table._members.update_member(leave(vm))
        table.refresh(1.0)
        view = HolderView(vm.incarnation, ("vm-0", "vm-1"))
        self.assertEqual(table.record_claim(vm.vm_id, view, 1.0), [])
        for name in NAMES:
            self.assertEqual(table.find(name, 2.0).holder_id, "vm-0")

    def test_workspace_of_an_unknown_claimer_comes_back_with_few_tokens(self):
        """Guards against a bucket that ignores what the claimer has granted.

        The former holder never sees the claimer among its own members.
        """
        vm, claimer = make_vm(1), make_vm(0)
        for ends in ("leaves", "claims less"):
            with self.subTest(ends):
                table = make_table(vm, [])
                view = HolderView(claimer.incarnation, ("vm-0",))
                table.record_claim("vm-0", view, 5.0)
                self.assertEqual(table.find("a", 6.0).holder_id, "vm-0")
                if ends == "leaves":
                    table._members.update_member(leave(claimer))
                    table.refresh(9.0)
                else:
                    less = HolderView(claimer.incarnation, ("vm-1",))
                    table.record_claim("vm-0", less, 9.0)
                self.assertEqual(table.find("a", 10.0), Tenure("vm-1", 9.0))

    def test_leaving_holder_is_followed_at_once_with_few_tokens(self):
        vms = [make_vm(number) for number in range(3)]
        table = make_table(vms[1], [vms[0], vms[2]])
        leaving = make_table(vms[0], vms[1:])
        gained = next(
            name for name in NAMES if choose_holder(name, ["vm-0", "vm-1"]) == "vm-0"
        )
        self.assertEqual(table.find(gained, 5.0).holder_id, "vm-0")
        leaving.is_leaving = True
        self.assertNotEqual(leaving.find(gained, 5.0).holder_id, "vm-0")
        table._members.update_member(leave(vms[0]))
        self.assertEqual(table.find(gained, 6.0).began_at_s, 6.0)

    def test_restarted_holder_needs_no_word_of_its_former_run(self):
        table = join(make_vm(0), [make_vm(1)])
        self.assertEqual(len(table.list_claims(1.0)), 1)
        table._members.update_member(make_vm(1, "2"))
        table.refresh(1.0)
        self.assertEqual(table.list_claims(1.0), [])

    def test_silent_holder_is_not_replaced(self):
        """Guards against VMs that are cut off and choose a holder of their own."""
        table = join(make_vm(0), [make_vm(1)])
        kept = [n for n in NAMES if choose_holder(n, ["vm-0", "vm-1"]) == "vm-0"]
        for name in kept:
            self.assertIsNone(table.find(name, 1000.0).began_at_s)


if __name__ == "__main__":
    unittest.main()
