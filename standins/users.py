"""Stand-in users that submit jobs at a rate to random controllers and retry as the protocol requires."""

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

RETRY_LIMIT_S = 60.0  # a user stops retrying this long after the first request
MIN_RETRY_DELAY_S = 1.0
THREAD_COUNT = 24


@dataclass
class Submission:
    """A submitted job and the responses to its submission; times on the monotonic clock."""

    job: dict[str, Any]
    first_at: float
    answers: list[SubmissionAnswer] = field(default_factory=list)
    accepted_at: float | None = None

    @property
    def has_given_up(self) -> bool:
        """Whether the user has stopped retrying and the job was not accepted."""
        return self.accepted_at is None and time.monotonic() - self.first_at > RETRY_LIMIT_S


class Users:
    """All users of a site: a pool of threads that submit jobs and retry until `close` is called.

    The site calls it at its exit, also when a test fails.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._sequence_numbers = itertools.count()
        self._scheduled: list[tuple[float, int, Submission]] = []
        # Guards the submissions and the schedule; notified of each new entry of the schedule.
        self._changed = threading.Condition()
        self._closed = threading.Event()
        self.submissions: list[Submission] = []
        self._threads = [
            threading.Thread(target=self._run_submissions, name=f"user-{number}", daemon=True)
            for number in range(THREAD_COUNT)
        ]
        for thread in self._threads:
            thread.start()
        site.call_on_exit(self.close)

    def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Upload a job and schedule its submission."""
        self._site.fleet.upload(job, run_s)
        submission = Submission(job, time.monotonic())
        with self._changed:
            self.submissions.append(submission)
            self._schedule(submission, submission.first_at)

    def flood(
        self, make_job: Callable[[int], dict[str, Any]], per_s: float, seconds: float, run_s: float
    ) -> None:
        """Submit `per_s` jobs a second for `seconds`, evenly spaced; blocks until the last is scheduled, or
        until `close`.

        `make_job` returns the job with the given number; `run_s` is the run time of each task.
        """
        started_at = time.monotonic()
        for number in range(int(per_s * seconds)):
            wait_s = started_at + number / per_s - time.monotonic()
            if self._closed.wait(max(0.0, wait_s)):
                return
            self.submit(make_job(number), run_s)

    def all_answers(self) -> list[SubmissionAnswer]:
        """Return all responses received, grouped by submission."""
        with self._changed:
            return [answer for submission in self.submissions for answer in submission.answers]

    def close(self) -> None:
        """Stop all threads and wait for their end; scheduled submissions are not sent."""
        self._closed.set()
        with self._changed:
            self._changed.notify_all()
        for thread in self._threads:
            thread.join()

    def _schedule(self, submission: Submission, at: float) -> None:
        heapq.heappush(self._scheduled, (at, next(self._sequence_numbers), submission))
        self._changed.notify()

    def _is_submission_due(self) -> bool:
        return bool(self._scheduled) and self._scheduled[0][0] <= time.monotonic()

    def _run_submissions(self) -> None:
        while True:
            with self._changed:
                while not self._closed.is_set() and not self._is_submission_due():
                    self._changed.wait(0.05 if self._scheduled else None)
                if self._closed.is_set():
                    return
                _, _, submission = heapq.heappop(self._scheduled)
                controller = self._rng.choice(list(self._site.controllers.front_addresses))
            self._submit_once(submission, controller)

    def _submit_once(self, submission: Submission, controller: str) -> None:
        status, body, retry_after_s = self._site.controllers.send_request_with_retry_after(
            controller, "POST", "/api/jobs", submission.job
        )
        now = time.monotonic()
        revision = body.get("revision", 0) if status == 429 else 0
        with self._changed:
            submission.answers.append(SubmissionAnswer(controller, submission.job["id"], status, revision))
            if status in (200, 201):
                submission.accepted_at = now
            elif status not in (400, 422) and now - submission.first_at < RETRY_LIMIT_S:
                self._schedule(submission, now + max(MIN_RETRY_DELAY_S, retry_after_s))
