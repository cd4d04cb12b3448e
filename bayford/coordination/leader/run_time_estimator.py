"""Expected run times: a user's guess, corrected by the finished tasks of its class."""

INITIAL_WEIGHT = 2.0  # the guess counts like so many tasks that ran exactly as guessed
MAX_WEIGHT = 200.0  # bounds the memory: later tasks keep at least this much influence
MIN_RATIO, MAX_RATIO = 0.1, 10.0  # one task can't say more
MIN_RUN_S = 0.1


class RunTimeEstimator:
    """Ratio of true to guessed run time per class, a decaying mean. Guarded by the lock of the leader's
    state; it outlives a leadership term."""

    def __init__(self) -> None:
        self._ratio: dict[int, tuple[float, float]] = {}  # class index -> weight, ratio

    def observe(self, job_class: int, guess_s: float, ran_s: float) -> None:
        """A task of the class was guessed to run `guess_s` and ran `ran_s` seconds."""
        if guess_s > 0:
            weight, ratio = self._ratio.get(job_class, (INITIAL_WEIGHT, 1.0))
            observed = min(MAX_RATIO, max(MIN_RATIO, ran_s / guess_s))
            self._ratio[job_class] = (
                min(MAX_WEIGHT, weight + 1.0),
                ratio + (observed - ratio) / (weight + 1.0),
            )

    def expected(self, job_class: int, guess_s: float) -> float:
        """Seconds that a task with this guess is expected to take."""
        return max(MIN_RUN_S, guess_s * self._ratio.get(job_class, (0.0, 1.0))[1])
