"""Events with which the threads of a controller wake one another."""

import threading


class Signals:
    """One event for each loop that other threads wake. Setting an event twice before the loop runs wakes it
    once."""

    def __init__(self) -> None:
        self.round = threading.Event()  # a change that the next scheduling round has to consider
        self.commit = threading.Event()  # the leader's state has changes to write
        self.verify = threading.Event()  # a thread waits for a verification of leadership
        self.verified = threading.Event()  # a verification has succeeded since this event was cleared
