"""Everything about scheduling that an operator may set, with its defaults."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """Values that the operators' script may replace; see docs/operations.md."""

    aging_s: float = 60.0
    guarantee_first: bool = True
    preempt_per_round: int = 16
    guarantee_wait_s: float = 60.0
    ordinary_after_s: float = 1e9
    patience_s: float = 2.0
    refused_s: float = 20.0
    keep_idle_s: float = 30.0
    surplus_idle_s: float = 8.0
    reserve: float = 1.0
    reserve_memory_s: float = 90.0
    target_margin: float = 1.0
    fetch_weight: float = 2.0
    job_fault_machines: int = 3
    hold_s: float = 0.5
    hold_idle_s: float = 1.5
