"""A job of many small tasks: do the answers to workers keep to 64 KiB a line, and does the work get done?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib2"))

import harness

MAX_BYTES = 64 * 1024  # PROTOCOL: of a line of a response to workers, and of a request body
PARTS, CPUS = (1600, 0.005) if harness.TROUBLE else (16, 0.5)  # 8 CPUs in all, one machine
RUN_S = 15.0
WAIT_S = 80.0
POLL_S = 5.0


class Worker(harness.Worker):
    """A worker that notes the sizes of its reports and of the answers to them."""

    longest_line = 0
    longest_report = 0
    refused = 0  # reports of more than 64 KiB

    def _post(self, controller: str, body: bytes) -> tuple[int, bytes]:
        status, answer = super()._post(controller, body)
        cls = type(self)
        cls.longest_report = max(cls.longest_report, len(body))
        cls.refused += status == 413
        line = max((len(line) for line in answer.split(b"\n")), default=0)
        if line > MAX_BYTES >= cls.longest_line:
            self.record.write(
                f"{controller} answers {self.name} with a line of {line} bytes: {answer[:90]!r}..."
            )
        cls.longest_line = max(cls.longest_line, line)
        return status, answer


def case(record: harness.Record) -> int:
    """Returns the exit status."""
    Worker.record = record
    harness.workers.Worker = Worker
    with harness.Site(record, [harness.SOKOL], capacity=1) as site:
        site.start_all()
        if not site.submit(harness.job(1, parts=PARTS, cpus=CPUS, mem_gb=0.02, guess_s=RUN_S), RUN_S):
            raise TimeoutError("the job was not accepted")
        accepted_at = time.monotonic()
        phase = ""
        while phase != "done" and time.monotonic() - accepted_at < WAIT_S:
            time.sleep(POLL_S)
            phase = site.poll("req-000001")
            kinds: dict[str, int] = {}
            for event in list(site.fleet.history):
                kinds[event.kind] = kinds.get(event.kind, 0) + 1
            record.write(
                f"attempts: {kinds}; longest line of an answer={Worker.longest_line} bytes, "
                f"longest report={Worker.longest_report} bytes, reports answered 413={Worker.refused}"
            )
        for line in site.log_lines("lease expired"):
            record.write(line)
        record.write(f"{WAIT_S:.0f} s after its acceptance, or earlier, the job is {phase}")
        return harness.HELD if phase == "done" and Worker.longest_line <= MAX_BYTES else harness.BROKEN


if __name__ == "__main__":
    sys.exit(harness.run_case(Path(__file__).resolve().parent, case))
