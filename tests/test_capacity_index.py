"""`CapacityIndex` returns the same machines as a search of the whole fleet, after any sequence of events."""

from hypothesis import given
from hypothesis import strategies as st

from bayford.scheduling import placement_rules
from bayford.scheduling.capacity_index import CapacityIndex
from bayford.scheduling.model import Job, JobSpec, Machine
from bayford.scheduling.placement_rules import Suitability

CPUS = 8.0
IMAGES = 4
ZONES = 2


def make_job(image: int, cpus: float, mem_gb: float, zone: int | None, spot: bool, tasks: int = 5) -> Job:
    """A job whose tasks have equal requirements."""
    spec = JobSpec(
        "req-1",
        "sweep",
        "open",
        1,
        tasks,
        cpus,
        0.0,
        mem_gb,
        f"img-{image}",
        1.0,
        None,
        None if zone is None else f"zone-{zone}",
        False,
        False,
        spot,
        20.0,
        0.0,
        0.0,
        None,
    )
    return Job(spec, 0, image, 0, zone, None, 0.0, 0.0)


machines = st.builds(
    lambda spot, zone, used, mem_gb, images, in_backoff, reclaim_at: Machine(
        0,
        "",
        type=0,
        zone=zone,
        spot=spot,
        cpus=CPUS,
        token_acknowledged=True,
        free_cpus=CPUS - used,
        free_mem=mem_gb,
        images=images,
        backoff_until=1.0 if in_backoff else 0.0,
        reclaim_at=1.0 if reclaim_at else None,
    ),
    spot=st.booleans(),
    zone=st.integers(0, ZONES - 1),
    used=st.integers(0, int(CPUS)).map(float),
    mem_gb=st.sampled_from([2.0, 8.0, 32.0]),
    images=st.dictionaries(st.integers(0, IMAGES - 1), st.booleans(), max_size=IMAGES),
    in_backoff=st.booleans(),
    reclaim_at=st.booleans(),
)
jobs = st.builds(
    make_job,
    image=st.integers(0, IMAGES),
    cpus=st.sampled_from([0.5, 1.0, 3.0, 8.0]),
    mem_gb=st.sampled_from([1.0, 4.0, 16.0]),
    zone=st.none() | st.integers(0, ZONES - 1),
    spot=st.booleans(),
)


def indexed(fleet: list[Machine]) -> CapacityIndex:
    """An index of machines and their cached images; sets `Machine.index`."""
    capacity_index = CapacityIndex()
    for index, machine in enumerate(fleet):
        machine.index = index
        capacity_index.update(machine)
        for image in machine.images:
            capacity_index.add_image(machine, image)
    return capacity_index


def full_search(job: Job, fleet: list[Machine], with_image_only: bool) -> list[Machine]:
    """The eligible machines in order of preference, found by a search of the whole fleet."""
    ranked = placement_rules.ranked(job, placement_rules.candidates(job, fleet, {}, 0.0))
    return [m for m in ranked if job.image in m.images] if with_image_only else ranked


def assert_same(
    capacity_index: CapacityIndex, fleet: list[Machine], job: Job, count: int, with_image_only: bool
) -> None:
    def is_eligible(machine: Machine) -> bool:
        return placement_rules.suitability(job, machine, {}, 0.0) is Suitability.PREFERRED

    expected = [m.index for m in full_search(job, fleet, with_image_only)[:count]]
    assert [m.index for m in capacity_index.best(job, count, is_eligible, with_image_only)] == expected


@given(st.lists(machines, max_size=40), jobs, st.integers(1, 12), st.booleans())
def test_the_index_finds_the_same_machines_as_a_search_of_the_whole_fleet(
    fleet: list[Machine], job: Job, count: int, with_image_only: bool
) -> None:
    assert_same(indexed(fleet), fleet, job, count, with_image_only)


@given(
    st.lists(machines, min_size=1, max_size=20),
    st.lists(
        st.tuples(
            st.integers(0, 19),
            st.sampled_from(["reserve", "release", "image", "evict", "removed", "back"]),
            st.integers(0, IMAGES),
        ),
        max_size=30,
    ),
    jobs,
    st.integers(1, 8),
)
def test_the_index_is_updated_for_reservations_images_and_removed_machines(
    fleet: list[Machine], events: list[tuple[int, str, int]], job: Job, count: int
) -> None:
    capacity_index = indexed(fleet)
    present_machines = {machine.index: machine for machine in fleet}
    reserving_job = make_job(0, 1.0, 1.0, None, True)
    for machine_number, event, image in events:
        machine = fleet[machine_number % len(fleet)]
        if event == "back" and machine.index not in present_machines:
            present_machines[machine.index] = machine
            capacity_index.update(machine)
        elif machine.index not in present_machines:
            continue
        elif event == "reserve" and machine.has_room(reserving_job):
            machine.reserve(reserving_job)
        elif event == "release" and machine.free_cpus < CPUS:
            machine.release(reserving_job)
        elif event == "image":
            machine.images[image] = True
            capacity_index.add_image(machine, image)
        elif event == "evict" and machine.images.pop(image, None) is not None:
            capacity_index.remove_image(machine, image)
        elif event == "removed":
            capacity_index.remove(machine)
            machine.images.clear()
            del present_machines[machine.index]
            continue
        capacity_index.update(machine)
    assert set(capacity_index.machines) == {i for i, m in present_machines.items() if m.free_cpus > 0}
    assert_same(capacity_index, list(present_machines.values()), job, count, False)


def test_a_search_checks_only_as_many_machines_as_requested() -> None:
    fleet = [
        Machine(
            0,
            "",
            type=0,
            zone=n % 2,
            spot=True,
            cpus=CPUS,
            token_acknowledged=True,
            free_cpus=CPUS,
            free_mem=32.0,
        )
        for n in range(4000)
    ]
    capacity_index = indexed(fleet)
    checked = 0

    def is_eligible(machine: Machine) -> bool:
        nonlocal checked
        checked += 1
        return True

    assert len(capacity_index.best(make_job(0, 1.0, 1.0, None, True), 10, is_eligible)) == 10
    assert checked == 10
