"""Expected run times of tasks: the user's estimate, corrected by completed tasks of the same job class."""

INITIAL_WEIGHT = 2.0  # the estimate counts as this many tasks that ran exactly as estimated
MAX_WEIGHT = 200.0  # a new task always has a weight of at least about 1 / MAX_WEIGHT in the mean
MIN_RATIO, MAX_RATIO = 0.1, 10.0  # bounds of the ratio observed from a single task
MIN_RUN_S = 0.1


class RunTimeEstimator:
    """Decaying mean of the ratio of actual to estimated run time, per job class.

    Guarded by the lock of the leader's state. Kept across leadership terms.
    """

    def __init__(self) -> None:
        self._ratio: dict[int, tuple[float, float]] = {}  # class index -> weight, ratio

    def observe(self, job_class: int, estimate_s: float, ran_s: float) -> None:
        """Record that a task of the class, estimated to run `estimate_s` seconds, ran `ran_s` seconds."""
        if estimate_s > 0:
            weight, ratio = self._ratio.get(job_class, (INITIAL_WEIGHT, 1.0))
            observed = min(MAX_RATIO, max(MIN_RATIO, ran_s / estimate_s))
            self._ratio[job_class] = (
                min(MAX_WEIGHT, weight + 1.0),
                ratio + (observed - ratio) / (weight + 1.0),
            )

    def expected_run_s(self, job_class: int, estimate_s: float) -> float:
        """Return the expected run time, in seconds, of a task estimated at `estimate_s` seconds."""
        return max(MIN_RUN_S, estimate_s * self._ratio.get(job_class, (0.0, 1.0))[1])
