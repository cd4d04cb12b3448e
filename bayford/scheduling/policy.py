"""The scheduling settings that operators can change, with their defaults."""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Names in the operators' script of the `Policy` fields that are called differently there. The script names
# stay unchanged, so that existing scripts remain valid.
SETTING_NAMES: Mapping[str, str] = {
    "service_share": "standing_share",
    "service_floor": "standing_floor",
    "service_boot_times": "standing_boots",
    "service_quiet_heartbeats": "standing_quiet",
    "on_demand_idle_s": "dear_idle_s",
}


def setting_name(field_name: str) -> str:
    """Returns the name in the operators' script of a field of `Policy`."""
    return SETTING_NAMES.get(field_name, field_name)


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings that the operators' script can override; `deploy/policy.star` describes each of them.

    Fields ending in `_s` are in seconds, those in `_share` are fractions of 1, those in `_weight` factors.
    """

    # order in which waiting jobs are served
    aging_s: float = 60.0
    guarantee_first: bool = True
    image_share: float = 0.1
    turn_s: float = 120.0
    turn_share: float = 0.02
    # preemption
    preempt_per_round: int = 16
    preempt_share: float = 0.004
    preempt_machines: int = 1024
    preempt_wait_s: float = 0.4
    guarantee_wait_s: float = 300.0
    fetch_weight: float = 8.0
    # launching and deleting machines
    ordinary_after_s: float = 1e9
    target_margin: float = 1.0
    patience_s: float = 2.0
    refused_s: float = 20.0
    keep_idle_s: float = 30.0
    surplus_idle_s: float = 8.0
    on_demand_idle_s: float = 2.0
    reserve: float = 1.0
    reserve_memory_s: float = 90.0
    # services
    service_share: float = 0.05
    service_floor: float = 40.0
    service_boot_times: float = 0.75
    service_quiet_heartbeats: float = 2.5
    spread_s: float = 6.0
    # failing tasks
    job_fault_machines: int = 3
    # answers to heartbeats
    hold_s: float = 1.2
    hold_idle_s: float = 1.5
    # balancer
    balance_every_s: float = 1.0
    balance_share: float = 0.02
    balance_trials: int = 4
    balance_iterations: int = 3
    balance_sources: int = 3
    balance_jobs: int = 4
    balance_machines: int = 1024
    summary_every_s: float = 30.0
    # load spread
    spread: bool = False
    spread_fetch_weight: float = 1.0
    spread_load_s: float = 10.0
    spread_affinity_s: float = 0.5
    spread_candidates: int = 256
    spread_every_s: float = 5.0
    spread_threshold: float = 2.0
    spread_rest_s: float = 60.0
    spread_restarts_default: int = 1
    spread_restarts: Mapping[str, int] = field(default_factory=dict)
    spread_lossy: tuple[str, ...] = ()
    extra_classes: tuple[str, ...] = ()
    # loss and return of zones
    recovery: bool = False
    recovery_least: int = 3
    recovery_settle_leases: float = 1.0
    recovery_flap_memory_s: float = 600.0
    return_order: tuple[str, ...] = ()
    # admission under overload
    admission: bool = False
    admission_interval_s: float = 2.0
    admission_window_s: float = 10.0
    admission_turn_s: float = 60.0
    admission_enter: float = 1.25
    admission_leave: float = 0.8
    admission_clear_s: float = 10.0
    admission_accept_share: float = 0.35
    admission_floor: float = 0.05
    admission_floors: Mapping[str, float] = field(default_factory=dict)
    admission_backlog_s: float = 900.0
