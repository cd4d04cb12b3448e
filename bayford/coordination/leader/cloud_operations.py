"""What the leader asks of the cloud: the catalog, the list of machines, launch requests and deletions.

The decisions are the scheduler's; this carries them out within the cloud's rate of requests. Before anything
is launched or deleted the controller must be verified to be the leader still, since the decision may be older
than the last verification.
"""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Protocol

from bayford.coordination.leader.scaling_actions import LaunchRequest, ScalingActions
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.token_bucket import TokenBucket
from bayford.protocol.cloud_api import Cloud, CloudBusyError, Listed, NoCapacityError

log = logging.getLogger(__name__)

LEADER_SHARE = 0.8  # of the cloud's rate of requests: the other controllers ask for the catalog alone
LAUNCH_QUEUE_SIZE = 256  # requests of up to 50 machines each; one that finds no place is decided anew
LAUNCH_ATTEMPTS = 4
LAUNCH_RETRY_S = 0.5  # doubled with each attempt
MAX_PER_LAUNCH = 50  # machines in a request
MAX_PER_DELETION = 100
PACE_S = 0.1  # between two looks at the token bucket
PACE_ATTEMPTS = 100
LIST_PERIOD_S = 2.0
LIST_SHARE = 0.4  # of the leader's rate, at the most: the rest is left to launch requests and deletions
LEADER_CATALOG_PERIOD_S = 25.0
CATALOG_PERIOD_S = 60.0
PAUSE_AFTER_CALL_S = 0.05
PAUSE_AFTER_FAILED_DELETION_S = 0.5


class LeadershipStatus(Protocol):
    """What the calls need to know of the leadership."""

    def is_verified_leader(self) -> bool:
        """Whether this controller may act as the leader on the view it has."""

    def no_competing_leader(self) -> bool:
        """Whether no controller can be verified to be the leader, and this one was the last by the leadership
        record."""


class CloudOperations:
    """The calls of one controller to the cloud.

    Each `..._step` belongs to one thread, and returns the seconds to wait until it is called again.
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
        """`rps` is the cloud's limit of requests per second. `request_prefix` is this process's alone, so
        that no launch request is named like another. `on_change`: there is something for the next scheduling
        round."""
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
        self._deletions: queue.Queue[str] = queue.Queue()  # each machine is in it once at the most

    def carry_out(self, step: ScalingActions) -> None:
        """Queue what the scheduler has decided."""
        for request in step.launches:
            try:
                self._launch_queue.put_nowait(request)
            except queue.Full:
                # Waiting for a place would hold up the deletions behind it, of cancelled work's machines too.
                self._scheduler.on_launch_failed(request)
        for deletion in step.deletions:
            self._deletions.put(deletion.machine)

    def pace(self) -> None:
        """Wait until the cloud's limit of requests allows one more, PACE_ATTEMPTS * PACE_S at the most."""
        for _ in range(PACE_ATTEMPTS):
            if self._rate.available() >= 1.0:
                break
            self._pause(threading.Event(), PACE_S)
        self._rate.take(1.0)

    def list_step(self) -> float:
        """Read the list of machines, page by page within the rate."""
        if not self._scheduler.leader:
            return LIST_PERIOD_S
        began = self._clock()
        listed: list[Listed] = []
        pages = 0
        more = True
        while more:
            self.pace()
            page = self._cloud.machines(listed[-1].name if listed else "")
            listed += page.machines
            pages += 1
            more = page.more and bool(page.machines)
        self._scheduler.on_list(listed, began)
        return max(LIST_PERIOD_S, pages / (self._rps * LIST_SHARE) - (self._clock() - began))

    def catalog_step(self) -> float:
        """Read the catalog; prices change."""
        self.pace()
        types = self._cloud.catalog()
        first = not self._scheduler.types
        self._scheduler.set_types(types)
        if first:
            self._on_change()
        return LEADER_CATALOG_PERIOD_S if self._scheduler.leader else CATALOG_PERIOD_S

    def launch_step(self) -> float:
        """Carry out the next launch request."""
        self.launch(self._launch_queue.get())
        return PAUSE_AFTER_CALL_S

    def launch(self, request: LaunchRequest) -> None:
        """Launch under a name that no request, of whatever process, has had before."""
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
                # The same request may be repeated: if it was carried out, the answer is the same.
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
        """Carry out the next deletions, many in a request."""
        names = [self._deletions.get()]
        while len(names) < MAX_PER_DELETION:
            try:
                names.append(self._deletions.get_nowait())
            except queue.Empty:
                break
        return PAUSE_AFTER_CALL_S if self.delete(names) else PAUSE_AFTER_FAILED_DELETION_S

    def delete(self, names: list[str]) -> bool:
        """Delete machines, and say whether the cloud confirmed it; only its 200 proves that their tasks are
        gone."""
        self.pace()
        if not self._leadership.is_verified_leader():
            # Decided before a pause of this process perhaps, and the machines are another leader's by now.
            overdue = self._scheduler.overdue() if self._leadership.no_competing_leader() else set()
            self._scheduler.not_deleted([name for name in names if name not in overdue])
            names = [name for name in names if name in overdue]
            if not names:
                return False
        try:
            self._cloud.delete(names)
        except CloudBusyError as error:
            log.info("deletion not confirmed: machines=%s error=%s", ",".join(names), error)
            self._scheduler.not_deleted(names)
            return False
        self._scheduler.deleted(names)
        self._on_change()
        return True
