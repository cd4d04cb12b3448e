"""Unit tests of admission control: decisions, levels, demand and capacity."""

import contextlib
import itertools
import random
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import msgspec
import orjson
import pytest
import z3
from cluster_helpers import VALID_SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st

from bayford import cli
from bayford.admission import choice, features, level_report
from bayford.admission.allotment import Allotment, Floors
from bayford.admission.choice import decide, levels_to_admission, max_levels_to_admission, position
from bayford.admission.control import BACKLOG, SUBMISSIONS, AdmissionTimes, LevelControl, Load
from bayford.admission.distinct import MAX_SAMPLED, DistinctDemand, SubmittedJobs
from bayford.admission.level import (
    POSITIONS,
    Flow,
    Level,
    UnreadableLevelError,
    Window,
    decode,
    encode,
    window_width,
)
from bayford.admission.load import AcceptanceCapacity, Rates
from bayford.config import split_address
from bayford.coordination.api.acceptance_rate import AcceptanceRateLimiter
from bayford.coordination.leader.admission_control import decode_sample, encode_sample
from bayford.protocol.jobs import parse_priority
from bayford.protocol.key_value_api import KeyValueApi
from bayford.storage import records
from bayford.storage.key_value_store import Put, Row
from bayford.transport.concurrency_limit import ConcurrencyLimit
from bayford.transport.http_client import HttpClient
from standins.state_service import StateService

KEY = "07" * 32
SWEEP, BUILD = Flow(1, "sweep", "red"), Flow(2, "build", "red")
HALF_LEVEL = Level(3, 5.0, KEY, SUBMISSIONS, 4.0, windows=(Window(1, "sweep", "red", 1000, POSITIONS // 2),))
TIMES = AdmissionTimes(2.0, 10.0, 60.0, 1.25, 0.8, 10.0, 900.0, Floors(0.05))
IDS = [f"req-{n:06d}" for n in range(2000)]


def test_the_decision_depends_only_on_the_level_and_the_job() -> None:
    admitted = [name for name in IDS if decide(HALF_LEVEL, SWEEP, name).admitted]
    assert 0.45 < len(admitted) / len(IDS) < 0.55
    assert admitted == [
        name for name in IDS if decide(decode(encode(HALF_LEVEL, 4096)), SWEEP, name).admitted
    ]
    assert all(decide(HALF_LEVEL, BUILD, name).admitted for name in IDS), (
        "a flow without a window is admitted"
    )
    assert all(decide(None, SWEEP, name).admitted for name in IDS)
    other = msgspec.structs.replace(HALF_LEVEL, key="08" * 32)
    assert admitted != [name for name in IDS if decide(other, SWEEP, name).admitted]


def test_levels_to_admission_states_when_the_window_reaches_a_refused_job() -> None:
    level = HALF_LEVEL
    for name in IDS[:200]:
        levels_left = levels_to_admission(level, level.windows[0], position(KEY, name))
        decision = decide(level, SWEEP, name)
        assert decision.admitted == (levels_left == 0)
        assert decision.admitted or 1 <= decision.retry_after_s <= choice.MAX_RETRY_S
        current_level, window = level, level.windows[0]
        for _ in range(levels_left):
            assert not window.admits(position(KEY, name))
            window = msgspec.structs.replace(
                window, start=(window.start + current_level.step(window)) % POSITIONS
            )
        assert window.admits(position(KEY, name))


@pytest.mark.parametrize("floor", [0.05, 0.3, 1.0])
def test_a_repeated_submission_is_admitted_after_a_bounded_number_of_levels(floor: float) -> None:
    """Checks windows of the minimum width, at several positions, against the bound in docs/admission.md."""
    narrowest = window_width(floor, TIMES.turn_s)
    bound = max_levels_to_admission(floor, TIMES.interval_s, TIMES.turn_s)
    level = msgspec.structs.replace(HALF_LEVEL, windows=(Window(1, "sweep", "red", 7, narrowest),))
    for position_at in (0, 6, 7, narrowest + 6, narrowest + 7, POSITIONS - 1):
        assert levels_to_admission(level, level.windows[0], position_at) < bound


def test_consecutive_windows_of_any_widths_skip_no_position() -> None:
    """Proves with z3, for any widths, that no position is skipped between one window and the next.

    The reason is that each window starts within the previous one; z3 finds no counterexample.
    """
    start, width, following, position_at = z3.Ints("start width following where")
    step = z3.If(width * 2 / 30 > 1, width * 2 / 30, 1)
    solver = z3.Solver()
    solver.add(start >= 0, width >= 1, width <= POSITIONS, following >= 1, following <= POSITIONS)
    # The window moves from `start` to `start + step`; a position in between that the old window did not
    # cover would be skipped.
    solver.add(position_at >= start, position_at < start + step, position_at >= start + width)
    assert solver.check() == z3.unsat
    solver.reset()
    past_the_end = start + width + 1  # a move by more than the width does skip positions
    solver.add(
        start >= 0, width >= 1, position_at >= start, position_at < past_the_end, position_at >= start + width
    )
    assert solver.check() == z3.sat


def divide(
    demand: dict[Flow, float],
    capacity: float = 10.0,
    guarantees: dict[str, float] | None = None,
    exempt: Sequence[str] = (),
    floors: Floors | None = None,
) -> dict[Flow, float]:
    """Returns the accepted rate of each flow, in jobs per second."""
    return Allotment(capacity, demand, guarantees or {}, floors or Floors(0.05)).divide(exempt)


def test_urgent_classes_are_served_first_and_each_class_keeps_its_floor() -> None:
    rates = divide({SWEEP: 100.0, BUILD: 30.0, Flow(0, "mirror", "red"): 50.0})
    assert rates[BUILD] == pytest.approx(9.0, abs=0.01)
    assert rates[SWEEP] == pytest.approx(0.5)
    assert rates[Flow(0, "mirror", "red")] == pytest.approx(0.5)


def test_the_team_furthest_above_its_guarantee_is_refused_first() -> None:
    red, blue, green = (Flow(1, "sweep", team) for team in ("red", "blue", "green"))
    rates = divide({red: 100.0, blue: 3.0, green: 2.0}, guarantees={"red": 4.0, "blue": 4.0})
    assert rates[blue] == pytest.approx(3.0)
    assert rates[red] == pytest.approx(5.5, abs=0.6)
    assert 0 < rates[green] < 2.0, "a team without a guarantee does not starve"
    urgent = Flow(2, "build", "red")
    rates = divide({urgent: 100.0, green: 2.0}, exempt=["green"])
    assert rates[green] == pytest.approx(2.0), (
        "a team within its guarantee precedes urgent jobs of other teams"
    )


def test_a_flood_of_one_team_in_the_urgent_class_takes_nothing_from_other_teams() -> None:
    red, blue, green = (Flow(2, "build", team) for team in ("red", "blue", "green"))
    rates = divide({red: 100.0, blue: 1.0, green: 0.5, SWEEP: 5.0}, guarantees={"red": 5.0, "blue": 5.0})
    assert rates[blue] == pytest.approx(1.0)
    assert rates[green] == pytest.approx(0.5)
    assert rates[SWEEP] == pytest.approx(0.5)
    assert rates[red] == pytest.approx(8.0, abs=0.01)


FLOWS = st.builds(Flow, st.integers(0, 3), st.sampled_from("abc"), st.sampled_from(["red", "blue", "green"]))


@given(st.dictionaries(FLOWS, st.floats(0.01, 100), min_size=1), st.floats(0.5, 50))
@settings(derandomize=True, max_examples=150)
def test_an_allotment_divides_no_more_than_the_capacity(demand: dict[Flow, float], capacity: float) -> None:
    rates = divide(demand, capacity)
    assert sum(rates.values()) <= capacity * 1.0001
    assert all(-1e-9 <= rates[flow] <= demand[flow] * 1.0001 for flow in demand)
    assert sum(rates.values()) >= min(capacity, sum(demand.values())) * 0.999, "all capacity is used"
    for flow in demand:
        above = [f for f in demand if f.priority > flow.priority]
        same_class = {f for f in demand if (f.priority, f.job_class) == (flow.priority, flow.job_class)}
        if any(rates[f] < demand[f] * 0.999 for f in above):
            floor = min(0.05 * capacity, sum(demand[m] for m in same_class))
            assert sum(rates[m] for m in same_class) <= floor * 1.001, (
                "only the floor while higher priorities wait"
            )


class SimulatedDemand:
    """Runs a level control against a given demand, in steps of half a second."""

    def __init__(self, capacity: float = 5.0) -> None:
        self.control = LevelControl(TIMES)
        self.stored: Level | None = None
        self.load = Load({}, {}, capacity, capacity, {"red": 0.0})
        self.now = 0.0
        self.levels: list[Level] = []

    def run(
        self,
        seconds: float,
        demand: dict[Flow, float],
        accepted: dict[Flow, float] | None = None,
        backlog: dict[int, float] | None = None,
    ) -> Level | None:
        """Applies this demand for some simulated seconds; returns the level that is stored at the end."""
        self.load = replace(self.load, demand=demand, accepted=accepted or demand, backlog_s=backlog or {})
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            # A new key takes effect only when refusing begins.
            key = KEY if self.stored is None else "08" * 32
            new_level = (
                self.control.next_level(self.stored, self.load, self.now, 1e9 + self.now, key)
                if self.control.is_due(self.now)
                else None
            )
            if new_level is not None:
                self.stored = new_level
                self.levels.append(new_level)
        return self.stored

    @property
    def level(self) -> Level:
        """Returns the stored level; the test fails if there is none."""
        assert self.stored is not None
        return self.stored


def test_refusing_begins_above_the_capacity_and_ends_without_oscillation() -> None:
    simulation = SimulatedDemand()
    assert simulation.run(30, {SWEEP: 6.0}) is None, "a fifth above the capacity is tolerated"
    simulation.run(20, {SWEEP: 50.0, BUILD: 2.0}, {SWEEP: 3.0, BUILD: 2.0})
    level = simulation.level
    assert level.reason == SUBMISSIONS
    assert [window.flow for window in level.windows] == [SWEEP]
    assert len(simulation.levels) <= 20 / TIMES.interval_s + 1, "levels keep the minimum interval"
    numbers = [level.number for level in simulation.levels]
    assert numbers == sorted(set(numbers))
    assert {(level.key, level.since) for level in simulation.levels} == {(KEY, simulation.levels[0].since)}
    for before, after in itertools.pairwise(simulation.levels):
        moved = (after.windows[0].start - before.windows[0].start) % POSITIONS
        assert moved == before.step(before.windows[0]), "the window moves on without skipping a position"
    simulation.run(9, {SWEEP: 1.0})
    assert not simulation.level.is_open, "the demand is within the capacity, but not yet for the clear time"
    simulation.run(4, {SWEEP: 4.5})
    assert not simulation.level.is_open, "between the two thresholds the state does not change"
    simulation.run(14, {SWEEP: 1.0})
    opened = simulation.level
    assert opened.is_open
    assert opened.number == numbers[-1] + len(simulation.levels) - len(numbers)
    count_before = len(simulation.levels)
    simulation.run(60, {SWEEP: 5.5})
    assert len(simulation.levels) == count_before, "everything must stay admitted"


def test_window_widths_follow_the_rate_of_acceptances() -> None:
    narrow, wide = SimulatedDemand(), SimulatedDemand()
    narrow.run(30, {SWEEP: 20.0}, {SWEEP: 15.0})
    wide.run(30, {SWEEP: 20.0}, {SWEEP: 1.0})
    assert narrow.level.windows[0].width < wide.level.windows[0].width
    assert narrow.level.windows[0].width >= window_width(0.05, TIMES.turn_s), (
        "the width never falls below the floor"
    )


def test_a_long_backlog_makes_the_level_refuse_that_class() -> None:
    simulation = SimulatedDemand()
    assert simulation.run(20, {SWEEP: 1.0}) is None
    simulation.run(20, {SWEEP: 1.0, BUILD: 1.0}, backlog={2: 10.0, 1: 3600.0})
    level = simulation.level
    assert level.reason == BACKLOG
    assert [window.flow for window in level.windows] == [SWEEP]
    assert level.accept_rps == 0


def test_a_new_leader_changes_no_width_before_it_has_observed_the_demand() -> None:
    simulation = SimulatedDemand()
    simulation.run(20, {SWEEP: 50.0})
    before = simulation.level
    simulation.control = LevelControl(TIMES)
    simulation.control.begin_term(simulation.now)
    simulation.run(9, {})
    assert simulation.level.number > before.number
    assert simulation.level.windows[0].width == before.windows[0].width
    assert simulation.level.windows[0].start != before.windows[0].start, "the window must still move on"


def test_an_encoded_level_fits_into_a_value_and_keeps_its_narrowest_windows() -> None:
    windows = tuple(Window(1, "sweep", f"team-{n:03d}", 0, 100 + n) for n in range(500))
    level = msgspec.structs.replace(HALF_LEVEL, windows=windows)
    value = encode(level, 4096)
    assert records.encoded_size(value) <= 4096
    kept = decode(value).windows
    assert len(kept) > 50
    assert [window.width for window in kept] == [100 + n for n in range(len(kept))]


@pytest.mark.parametrize(
    "change", [{"v": 2}, {"key": "x"}, {"key": "07"}, {"windows": 3}, {"turn_s": 0}, {"number": "a"}]
)
def test_a_malformed_level_is_unreadable(change: dict[str, object]) -> None:
    with pytest.raises(UnreadableLevelError):
        decode(encode(HALF_LEVEL, 4096) | change)


def test_a_level_is_in_force_only_if_every_live_controller_has_the_feature() -> None:
    members = [Row(records.MEMBERS + name, f"i-{name}", 1) for name in ("n0", "n1")]
    stored_features = {
        name: Row(records.FEATURES + name, features.encode(f"i-{name}", ["admission"]), 1)
        for name in ("n0", "n1")
    }
    assert features.controllers_without_admission(members, stored_features.values()) == []
    assert features.controllers_without_admission(members, [stored_features["n0"]]) == ["n1"]
    outdated = Row(records.FEATURES + "n1", features.encode("i-before", ["admission"]), 1)
    assert features.controllers_without_admission(members, [stored_features["n0"], outdated]) == ["n1"], (
        "the features of an ended process do not count"
    )
    assert features.controllers_without_admission(
        members, [stored_features["n0"], Row(records.FEATURES + "n1", ["odd"], 1)]
    ) == ["n1"]


def test_a_job_submitted_repeatedly_to_any_controllers_is_counted_once() -> None:
    demand = DistinctDemand(10.0)
    nodes = {name: SubmittedJobs() for name in ("n0", "n1", "n2")}
    rng = random.Random(3)
    for second in range(100):
        now = float(second)
        for n in range(40):  # new jobs; the second loop repeats jobs of the last 30 s at any controller
            nodes[rng.choice(list(nodes))].record_submission(SWEEP, f"req-{second}-{n}", now)
        for _ in range(200):
            again = f"req-{max(0, second - rng.randrange(30))}-{rng.randrange(40)}"
            nodes[rng.choice(list(nodes))].record_submission(SWEEP, again, now)
        for name, node in nodes.items():
            sample = node.recent_sample(now)
            assert len(sample.jobs) <= MAX_SAMPLED
            demand.merge(name, decode_sample(encode_sample(sample)), now)
    assert 30 < demand.rates(99.0)[SWEEP] < 50
    assert demand.rates(150.0) == {}
    other = DistinctDemand(10.0)
    other.merge("n0", nodes["n0"].recent_sample(99.0), 99.0)
    assert other.rates(99.0) == {}, "a new leader must not count old jobs as new"


def test_estimates_of_rates_and_of_the_capacity_for_acceptances() -> None:
    rates: Rates[str] = Rates(10.0)
    for second in range(20):
        rates.add("a", float(second), 3)
    assert rates.rates(19.0) == {"a": 3.0}
    assert rates.rates(40.0) == {}
    capacity = AcceptanceCapacity(4.0, 12.0)
    for _ in range(50):
        capacity.update(True, refused=2, lag_s=0.0)
    assert capacity.acceptances_per_s == pytest.approx(1.0)
    for _ in range(100):
        capacity.update(True, 0, 0.0)
    assert capacity.acceptances_per_s == pytest.approx(7.2)
    assert capacity.task_log_rps() == pytest.approx(3.84)
    capacity.update(True, 0, lag_s=99.0)
    assert capacity.acceptances_per_s < 7.2 and capacity.task_log_rps() > 3.84, (
        "the task log lags far behind, so it gets a larger share of the writes"
    )
    capacity.update(False, 5, 99.0)
    assert capacity.acceptances_per_s == pytest.approx(7.2), (
        "while the level refuses no jobs, refused writes do not lower the estimate"
    )


def test_the_acceptance_rate_follows_the_store_and_reserves_some_for_urgent_jobs() -> None:
    now = [0.0]
    limiter = AcceptanceRateLimiter(10.0, lambda: now[0])
    for _ in range(8):
        now[0] += 1.0
        limiter.on_refused()
    now[0] += 10.0
    assert [limiter.take(False, None) for _ in range(3)] == [True, False, False], (
        "a low rate, half of it reserved for urgent jobs"
    )
    assert [limiter.take(True, None) for _ in range(2)] == [True, False]
    for _ in range(50):
        limiter.on_written()
    now[0] += 1.0
    assert sum(limiter.take(True, None) for _ in range(20)) == 10
    now[0] += 1.0
    assert sum(limiter.take(True, 3.0) for _ in range(20)) == 3, (
        "the rate of the level applies if it is lower"
    )


def test_requests_that_are_not_urgent_use_only_a_share_of_the_concurrency_limit() -> None:
    limit = ConcurrencyLimit(start=8.0)
    with contextlib.ExitStack() as entered:
        assert [entered.enter_context(limit.enter(0.75)) for _ in range(7)] == [True] * 6 + [False]
        assert [entered.enter_context(limit.enter()) for _ in range(3)] == [True, True, False]
    assert [parse_priority(body) for body in (b'{"rank":"urgent"}', b'{"rank":"odd"}', b"[", b"{}")] == [
        2,
        0,
        0,
        0,
    ]


def test_the_admission_command_shows_the_level_or_the_reason_why_it_cannot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    service = StateService()
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS.replace("127.0.0.1:5", service.address))
    store = KeyValueApi(HttpClient(*split_address(service.address)).call)
    command = ["admission", "--config", str(path)]
    assert cli.main(command) == 0
    assert "no level" in capsys.readouterr().out
    store.compare_and_swap(
        {}, [Put(records.ADMISSION, encode(HALF_LEVEL, 4096)), Put(records.MEMBERS + "n1", "i1")]
    )
    assert cli.main(command) == 0
    output = capsys.readouterr().out
    assert "refusing for submissions" in output
    assert "not in force: n1 keep to no level" in output
    assert cli.main([*command, "--json"]) == 0
    assert orjson.loads(capsys.readouterr().out)["lacking"] == ["n1"]
    store.compare_and_swap({}, [Put(records.ADMISSION, {"v": 7})])
    assert cli.main(command) == 1
    assert "everything is admitted" in capsys.readouterr().err
    service.close()
    assert cli.main(command) == 1
    assert "is out" in capsys.readouterr().err


def test_the_report_describes_a_level() -> None:
    assert "no level" in level_report.as_text(None, [])
    text = level_report.as_text(HALF_LEVEL, ["n1"])
    assert "refusing for submissions" in text
    assert "sweep (normal) of red: 50.0%" in text
    assert "n1" in text
    assert KEY not in level_report.as_json(HALF_LEVEL, [])
    assert '"in_force": true' in level_report.as_json(HALF_LEVEL, [])
    assert "everything is admitted since" in level_report.as_text(Level(4, 5.0, KEY), [])
