"""Plays a range of loads to all policies, prints what callers get, and draws it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from fire import Fire

from cardamomtack_standins.model.load import LoadPlan, plan_desk, plan_short_work
from cardamomtack_standins.model.oracle import FleetQueue, OraclePolicy
from cardamomtack_standins.model.play import (
    FleetShape,
    LoadPlay,
    PlayOutcome,
    PolicyMaker,
)
from cardamomtack_standins.model.policies import (
    AskingPolicy,
    OmniscientPolicy,
    OwnInFlightPolicy,
    RandomPolicy,
)
from cardamomtack_standins.model.server import ServerTraits

FACTORS = (0.5, 1.0, 1.5, 2.0, 2.5, 3.0)
LENGTH_S = 15.0
PROBES_PER_SERVER_PER_S = 60.0

LOADS = {"desk": plan_desk, "short": plan_short_work}
ORACLE = "oracle"
"""Its VMs share one queue, so each play makes its own."""

PRODUCT_IN_BUDGET = "product, in its budget"
"""Probes no more than a VM's share of what the fleet may, as the daemon does."""

POLICIES: dict[str, PolicyMaker] = {
    "product": lambda servers, random, zone: AskingPolicy(servers, random, zone),
    "product, accepts all": lambda servers, random, zone: AskingPolicy(
        servers, random, zone, refuses=False
    ),
    "product, asks nobody": lambda servers, random, zone: AskingPolicy(
        servers, random, zone, asks=False
    ),
    "own in flight": lambda servers, random, zone: OwnInFlightPolicy(servers, random),
    "random": lambda servers, random, zone: RandomPolicy(servers, random),
    "knows everything": lambda servers, random, zone: OmniscientPolicy(servers, random),
}


@dataclass(slots=True, frozen=True)
class ExperimentRow:
    """What callers got under one policy and load, as means over the seeds."""

    policy: str
    factor: float
    credit: float
    in_time: float
    served: float


def choose_policy(policy: str, shape: FleetShape) -> PolicyMaker:
    """Return what makes the policies of the VMs of one play."""
    if policy == ORACLE:
        queue = FleetQueue()
        return lambda servers, random, zone: OraclePolicy(servers, random, queue)
    if policy == PRODUCT_IN_BUDGET:
        probes_per_s = PROBES_PER_SERVER_PER_S * shape.servers / shape.vms
        return lambda servers, random, zone: AskingPolicy(
            servers, random, zone, checks_per_s=probes_per_s, learns_waits=True
        )
    return POLICIES[policy]


def play_policy(
    policy: str, factor: float, shape: FleetShape, seeds: int, load: str = "desk"
) -> ExperimentRow:
    """Return what callers get under a policy at so many times the usual load."""
    plan: LoadPlan = LOADS[load](LENGTH_S, ((0.0, LENGTH_S, factor),))
    outcomes = [
        LoadPlay(plan, shape, choose_policy(policy, shape), seed).run()
        for seed in range(seeds)
    ]
    return ExperimentRow(
        policy,
        factor,
        sum(one.credit_share for one in outcomes) / seeds,
        sum(_share(one, late=False) for one in outcomes) / seeds,
        sum(_share(one, late=True) for one in outcomes) / seeds,
    )


def _share(outcome: PlayOutcome, late: bool) -> float:
    """Return the share of all requests that were answered in time, or at all."""
    asked = sum(kind.asked for kind in outcome.kinds.values())
    answered = sum(
        kind.in_time + (kind.late if late else 0) for kind in outcome.kinds.values()
    )
    return answered / max(1, asked)


def draw_rows(rows: list[ExperimentRow], path: Path) -> None:
    """Draw the credit and the served share of each policy against the load."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 4), sharey=True)
    for policy in dict.fromkeys(row.policy for row in rows):
        own = [row for row in rows if row.policy == policy]
        factors = [row.factor for row in own]
        axes[0].plot(factors, [row.credit for row in own], marker="o", label=policy)
        axes[1].plot(factors, [row.served for row in own], marker="o", label=policy)
    axes[0].set_ylabel("share")
    for axis, title in zip(axes, ("credit earned", "served at all"), strict=True):
        axis.set_title(title)
        axis.set_xlabel("times the usual load")
        axis.grid(alpha=0.3)
    axes[1].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=120)


def run_experiment(
    vms: int = 13,
    servers: int = 14,
    slots: int = 6,
    zones: int = 4,
    seeds: int = 3,
    load: str = "desk",
    policies: tuple[str, ...] = (*POLICIES, PRODUCT_IN_BUDGET, ORACLE),
    factors: tuple[float, ...] = FACTORS,
    plot: str = "",
) -> None:
    """Print what callers get under each policy and load.

    Example: script/experiment --servers 20 --slots 3 --plot run/experiment.png
    Example: script/experiment --load short --policies "['product', 'oracle']"

    Parameters
    ----------
    load : str
        ``desk`` or ``short``.
    policies : tuple of str
        Names of policies.
    factors : tuple of float
        Multiples of the usual load.
    """
    known = (*POLICIES, PRODUCT_IN_BUDGET, ORACLE)
    unknown = [name for name in policies if name not in known]
    if load not in LOADS or unknown:
        print(f"loads: {', '.join(LOADS)}; policies: {', '.join(known)}")
        raise SystemExit(2)
    shape = FleetShape(vms, servers, zones, ServerTraits(slots, 2 * slots))
    rows: list[ExperimentRow] = []
    print(f"{'policy':22} {'load':>5} {'credit':>7} {'in time':>8} {'served':>7}")
    for policy in policies:
        for factor in factors:
            row = play_policy(policy, factor, shape, seeds, load)
            rows.append(row)
            print(
                f"{policy:22} {factor:5.1f} {row.credit:7.3f} {row.in_time:8.3f} "
                f"{row.served:7.3f}"
            )
    if plot:
        Path(plot).parent.mkdir(parents=True, exist_ok=True)
        draw_rows(rows, Path(plot))


if __name__ == "__main__":
    Fire(run_experiment)
