"""The deployment `pakiety-coop`: three controllers in two zones."""

from lib.cloud import Offer
from lib.site import facts
from lib.state import Limits
from standins.workers import MachineKind

CONTROLLERS = {"dock-0": "gdansk-rack", "dock-1": "krakow-rack", "dock-2": "gdansk-rack"}
REPORT_S, LEASE_S, CANCEL_S = 2.0, 12.0, 42.0
RESTART_S = 5.0  # "back about 5 s after an end"
MEM_MB = 186.0
LIMITS = Limits(rps=100.0, write_rps=15.0, value_kb=8.0, txn_ops=12)
TEAMS = {
    "registry-core": (40.0, 88.0),
    "build-farm": (48.0, 168.0),
    "security-desk": (56.0, 168.0),
    "docs-crew": (32.0, 80.0),
    "mirror-guild": (32.0, 80.0),
}
OBJECTIVES = """
[[facts.objectives]]
kind = "finished"
class = "rebuild-sweep"
within_s = 80.0
share = 0.8
[[facts.objectives]]
kind = "deadline"
class = "hot-builds"
share = 0.9
times = 1.0
[[facts.objectives]]
kind = "wait"
class = "hot-builds"
within_s = 4.0
share = 0.88
[[facts.objectives]]
kind = "finished"
class = "mirror-trickle"
within_s = 180.0
share = 0.65
"""
FACTS = facts(
    nodes=3,
    zones=["gdansk-rack", "krakow-rack"],
    teams=TEAMS,
    objectives=OBJECTIVES,
    workers={
        "report_s": REPORT_S,
        "lease_s": LEASE_S,
        "gang_wait_s": 50.0,
        "gang_peer_s": 8.0,
        "cancel_s": CANCEL_S,
    },
    state={"rps": 100.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
    cloud={"rps": 3.0, "list_lag_s": 6.0},
    machine={"core_share": 0.54, "mem_mb": MEM_MB, "fd_limit": 1500},
)


def offers() -> list[Offer]:
    """Return the machine types and how many of each the cloud has."""
    return [
        Offer(MachineKind("wrobel", 4.0, 32.0, 0.25, 0.19), "krakow-rack", 0.06, 20.0, 28, 8),
        Offer(MachineKind("sokol", 8.0, 64.0, 0.6, 0.38), "gdansk-rack", 0.11, 40.0, 10, 2),
    ]
