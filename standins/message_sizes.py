"""Sizes of the messages between a stand-in worker and the controllers."""

from dataclasses import dataclass


@dataclass
class MessageSizes:
    """Sizes of the messages between one worker and the controllers so far, in bytes."""

    longest_report: int = 0
    longest_response_line: int = 0
    refused_reports: int = 0  # number of heartbeats that were answered 413

    def record(self, report: bytes, status: int, response: bytes) -> None:
        """Record a heartbeat and the response to it."""
        self.longest_report = max(self.longest_report, len(report))
        lines = response.split(b"\n")
        self.longest_response_line = max(self.longest_response_line, *map(len, lines))
        self.refused_reports += status == 413
