"""Requests to the cloud: the catalog, the list of machines, launch requests and deletions.

The scheduler decides; this module sends the requests within the cloud's rate limit. Before a launch or a
deletion the controller must be verified again to be the leader, since the decision may be older than the last
verification.
"""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Protocol

from bayford.coordination.leader.scaling_actions import LaunchRequest, ScalingActions
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.token_bucket import TokenBucket
from bayford.protocol.cloud_api import Cloud, CloudBusyError, ListedMachine, NoCapacityError

log = logging.getLogger(__name__)

LEADER_SHARE = 0.8  # of the cloud's request rate; the other controllers only request the catalog
LAUNCH_QUEUE_SIZE = 256  # requests of up to 50 machines each; if the queue is full, later steps decide again
LAUNCH_ATTEMPTS = 4
LAUNCH_RETRY_S = 0.5  # doubled with each attempt
MAX_PER_LAUNCH = 50  # machines per request
MAX_PER_DELETION = 100
PACE_POLL_S = 0.1  # between two checks of the token bucket
PACE_ATTEMPTS = 100
LIST_PERIOD_S = 2.0
LIST_SHARE = 0.4  # maximum share of the leader's rate; the rest is for launch requests and deletions
LEADER_CATALOG_PERIOD_S = 25.0
CATALOG_PERIOD_S = 60.0
PAUSE_AFTER_CALL_S = 0.05
PAUSE_AFTER_FAILED_DELETION_S = 0.5


class LeadershipStatus(Protocol):
    """The state of the leadership that calls to the cloud depend on."""

    def is_verified_leader(self) -> bool:
        """Returns whether this controller is verified to be the leader and may act on its present state."""

    def has_no_competing_leader(self) -> bool:
        """Returns whether no controller can verify that it is the leader, and this one was the last leader.

        The last leader is taken from the leadership record.
        """


class CloudOperations:
    """Sends the requests of one controller to the cloud.

    Each `..._step` method is called by one thread only and returns the seconds to wait until the next call.
    """

    def __init__(
        self,
        cloud: Cloud,
        scheduler: Scheduler,
        leadership: LeadershipStatus,
        rps: float,
        request_prefix: str,
        clock: Callable[[], float],
        pause: Callable[[threading.Event, float], object],
        on_change: Callable[[], None],
    ) -> None:
        """`rps`: the cloud's limit of requests per second. `request_prefix`: unique to this process, so that
        launch requests of different processes never have the same name. `on_change`: called when the next
        scheduling round has new types or confirmed deletions to consider."""
        self._cloud = cloud
        self._scheduler = scheduler
        self._leadership = leadership
        self._rps = rps * LEADER_SHARE
        self._rate = TokenBucket(self._rps, max(1.0, rps), clock)
        self._request_prefix = request_prefix
        self._requests = 0
        self._clock = clock
        self._pause = pause
        self._on_change = on_change
        self._launch_queue: queue.Queue[LaunchRequest] = queue.Queue(LAUNCH_QUEUE_SIZE)
        self._deletions: queue.Queue[str] = queue.Queue()  # contains each machine at most once

    def enqueue(self, step: ScalingActions) -> None:
        """Queues the launches and deletions that the scheduler decided on."""
        for request in step.launches:
            try:
                self._launch_queue.put_nowait(request)
            except queue.Full:
                # Do not block: that would delay the deletions, among them those of machines where cancelled
                # tasks may still run.
                self._scheduler.on_launch_failed(request)
        for deletion in step.deletions:
            self._deletions.put(deletion.machine)

    def pace(self) -> None:
        """Waits until the cloud's rate limit allows another request, at most PACE_ATTEMPTS * PACE_POLL_S."""
        for _ in range(PACE_ATTEMPTS):
            if self._rate.available() >= 1.0:
                break
            self._pause(threading.Event(), PACE_POLL_S)
        self._rate.take(1.0)

    def list_step(self) -> float:
        """Reads the list of machines, page by page within the rate limit."""
        if not self._scheduler.leader:
            return LIST_PERIOD_S
        began = self._clock()
        listed: list[ListedMachine] = []
        pages = 0
        more = True
        while more:
            self.pace()
            page = self._cloud.list_machines(listed[-1].name if listed else "")
            listed += page.machines
            pages += 1
            more = page.more and bool(page.machines)
        self._scheduler.on_list(listed, began)
        return max(LIST_PERIOD_S, pages / (self._rps * LIST_SHARE) - (self._clock() - began))

    def catalog_step(self) -> float:
        """Reads the catalog. This is repeated, since prices change."""
        self.pace()
        types = self._cloud.catalog()
        first = not self._scheduler.types
        self._scheduler.set_types(types)
        if first:
            self._on_change()
        return LEADER_CATALOG_PERIOD_S if self._scheduler.leader else CATALOG_PERIOD_S

    def launch_step(self) -> float:
        """Sends the next queued launch request."""
        self.launch(self._launch_queue.get())
        return PAUSE_AFTER_CALL_S

    def launch(self, request: LaunchRequest) -> None:
        """Sends a launch request under a name that no request of any process has used before."""
        self._requests += 1
        name = f"{self._request_prefix}-{self._requests}"
        count = min(request.count, MAX_PER_LAUNCH)
        began = self._clock()
        machines: list[str] = []
        for attempt in range(LAUNCH_ATTEMPTS):
            self.pace()
            if not self._leadership.is_verified_leader():
                self._scheduler.on_launch_failed(request)
                return
            try:
                machines = self._cloud.launch(name, request.type, request.zone, request.spot, count)
                break
            except NoCapacityError:
                break
            except CloudBusyError as error:
                # The retry is idempotent: if the cloud has already processed the request of this name, it
                # returns the same response.
                log.info(
                    "launch request not answered: request=%s attempt=%d error=%s", name, attempt + 1, error
                )
                self._pause(threading.Event(), LAUNCH_RETRY_S * 2**attempt)
        log.debug(
            "launch request answered: request=%s reason=%s machines=%s",
            name,
            request.reason,
            ",".join(machines),
        )
        self._scheduler.on_launched(request, machines, began)

    def delete_step(self) -> float:
        """Sends the next queued deletions, up to `MAX_PER_DELETION` in one request."""
        names = [self._deletions.get()]
        while len(names) < MAX_PER_DELETION:
            try:
                names.append(self._deletions.get_nowait())
            except queue.Empty:
                break
        return PAUSE_AFTER_CALL_S if self.delete(names) else PAUSE_AFTER_FAILED_DELETION_S

    def delete(self, names: list[str]) -> bool:
        """Deletes machines and returns whether the cloud confirmed it.

        Only status 200 proves that the tasks on the machines no longer run.
        """
        self.pace()
        if not self._leadership.is_verified_leader():
            # This process may have been paused since the decision, and another leader may manage the
            # machines by now.
            overdue = (
                self._scheduler.overdue_machines() if self._leadership.has_no_competing_leader() else set()
            )
            self._scheduler.on_deletion_unconfirmed([name for name in names if name not in overdue])
            names = [name for name in names if name in overdue]
            if not names:
                return False
        try:
            self._cloud.delete(names)
        except CloudBusyError as error:
            log.info("deletion not confirmed: machines=%s error=%s", ",".join(names), error)
            self._scheduler.on_deletion_unconfirmed(names)
            return False
        self._scheduler.on_deletion_confirmed(names)
        self._on_change()
        return True
