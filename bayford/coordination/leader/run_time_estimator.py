"""Run times as seen: `guess_s` is an estimate that each class's finished tasks correct."""


class RunTimeEstimator:
    """Ratio of true to guessed run time per class, a decaying mean."""

    def __init__(self) -> None:
        self._ratio: dict[int, tuple[float, float]] = {}  # class -> weight, ratio

    def observe(self, job_class: int, guess_s: float, ran_s: float) -> None:
        """A task of the class ran `ran_s`."""
        if guess_s > 0:
            weight, ratio = self._ratio.get(job_class, (2.0, 1.0))
            seen = min(10.0, max(0.1, ran_s / guess_s))
            self._ratio[job_class] = (min(200.0, weight + 1.0), ratio + (seen - ratio) / (weight + 1.0))

    def expected(self, job_class: int, guess_s: float) -> float:
        """What a task with this guess is expected to take."""
        return max(0.1, guess_s * self._ratio.get(job_class, (0.0, 1.0))[1])
