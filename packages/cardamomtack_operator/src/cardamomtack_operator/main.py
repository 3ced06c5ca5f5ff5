"""The binary ``cardamomtack``."""

from __future__ import annotations

import warnings

from fire import Fire

from cardamomtack_operator.commands import OperatorCommands


def run_cli() -> None:
    """Run the command line."""
    # Fire tries every argument as a Python literal, which warns about addresses.
    warnings.simplefilter("ignore", SyntaxWarning)
    Fire(OperatorCommands, name="cardamomtack")


if __name__ == "__main__":
    run_cli()
