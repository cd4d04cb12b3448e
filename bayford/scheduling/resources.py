"""Amounts of a machine's resources: what tasks take and what machines have left."""

EPS = 1e-6  # tolerance for sums of decimal amounts

Resources = tuple[float, float, float, int]  # CPUs, GPUs, GB of memory, bytes of the machine's heartbeat


def add(a: Resources, b: Resources) -> Resources:
    """Returns the component-wise sum."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3])


def sub(a: Resources, b: Resources) -> Resources:
    """Returns the component-wise difference `a - b`."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def fits(demand: Resources, free: Resources) -> bool:
    """Returns whether `free` suffices for `demand` in every resource."""
    return (
        demand[0] <= free[0] + EPS
        and demand[1] <= free[1] + EPS
        and demand[2] <= free[2] + EPS
        and demand[3] <= free[3]
    )
