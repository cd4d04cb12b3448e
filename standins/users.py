"""Users who submit jobs at a rate, to any controller, and retry as the protocol says."""

import heapq
import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.admission_history import SubmissionAnswer
from standins.site import Site

MAX_RETRYING_S = 60.0  # how long a user retries a submission
MIN_RETRY_S = 1.0  # the shortest pause before a retry
THREADS = 24


@dataclass
class Submission:
    """One job and the answers that its user got."""

    job: dict[str, Any]
    first_at: float
    answers: list[SubmissionAnswer] = field(default_factory=list)
    accepted_at: float | None = None

    @property
    def given_up(self) -> bool:
        """Whether its user has stopped retrying without an acceptance."""
        return self.accepted_at is None and time.monotonic() - self.first_at > MAX_RETRYING_S


class Users:
    """All users of a site, until `close`: some threads that submit and retry."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, Submission]] = []
        self._changed = (
            threading.Condition()
        )  # guards the submissions and the schedule; notified of each new entry
        self._closed = False
        self.submissions: list[Submission] = []
        for _ in range(THREADS):
            threading.Thread(target=self._work, daemon=True).start()

    def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Upload a job and begin to submit it."""
        self._site.fleet.upload(job, run_s)
        submission = Submission(job, time.monotonic())
        with self._changed:
            self.submissions.append(submission)
            self._push(submission, submission.first_at)

    def flood(
        self, make_job: Callable[[int], dict[str, Any]], per_s: float, seconds: float, run_s: float
    ) -> None:
        """Submit jobs at a steady rate for some time; `make_job` is given their numbers."""
        started_at = time.monotonic()
        for number in range(int(per_s * seconds)):
            wait_s = started_at + number / per_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self.submit(make_job(number), run_s)

    def all_answers(self) -> list[SubmissionAnswer]:
        """All answers so far, by submission."""
        with self._changed:
            return [answer for submission in self.submissions for answer in submission.answers]

    def close(self) -> None:
        """Stop submitting."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _push(self, submission: Submission, at: float) -> None:
        heapq.heappush(self._scheduled, (at, next(self._order), submission))
        self._changed.notify()

    def _work(self) -> None:
        while True:
            with self._changed:
                while not self._closed and (not self._scheduled or self._scheduled[0][0] > time.monotonic()):
                    self._changed.wait(0.05 if self._scheduled else None)
                if self._closed:
                    return
                _, _, submission = heapq.heappop(self._scheduled)
                controller = self._rng.choice(list(self._site.controllers.front_addresses))
            self._attempt(submission, controller)

    def _attempt(self, submission: Submission, controller: str) -> None:
        status, body, retry_after_s = self._site.controllers.send_request_with_retry_after(
            controller, "POST", "/api/jobs", submission.job
        )
        now = time.monotonic()
        revision = body.get("revision", 0) if status == 429 else 0
        with self._changed:
            submission.answers.append(SubmissionAnswer(controller, submission.job["id"], status, revision))
            if status in (200, 201):
                submission.accepted_at = now
            elif status not in (400, 422) and now - submission.first_at < MAX_RETRYING_S:
                self._push(submission, now + max(MIN_RETRY_S, retry_after_s))
