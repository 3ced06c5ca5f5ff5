"""The budget of measuring, in any window, for any number of VMs."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from cardamomtack.generated.configuration import MeasuringBudget
from cardamomtack.measuring.pacer import MeasuringLimiter

RUN_S = 10.0


class PacerTest(unittest.TestCase):
    """A fleet whose VMs try to probe far too often."""

    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(vms=st.integers(1, 17), budget=st.integers(17, 200), seed=st.integers(0, 99))
    def test_no_second_is_over_the_budget(self, vms: int, budget: int, seed: int):
        random = Random(seed)
        sent = []
        for _ in range(vms):
            pacer = MeasuringLimiter()
            pacer.apply_budget(MeasuringBudget(float(budget), 0.0, 0.0, 17))
            now_s = random.random()
            while now_s < RUN_S:
                if pacer.spend_probe(now_s):
                    sent.append(now_s)
                now_s += random.expovariate(100.0)
        sent.sort()
        for index, start_s in enumerate(sent):
            after = sent[index : index + budget + 1]
            if len(after) > budget:
                self.assertGreaterEqual(after[-1] - start_s, 1.0)

    def test_reports_pay_for_their_bytes(self):
        pacer = MeasuringLimiter()
        pacer.apply_budget(MeasuringBudget(0.0, 170.0, 17_000.0, 17))
        self.assertTrue(pacer.spend_report(900, 0.0))
        self.assertFalse(pacer.spend_report(900, 0.5))
        self.assertTrue(pacer.spend_report(900, 2.0))


if __name__ == "__main__":
    unittest.main()
